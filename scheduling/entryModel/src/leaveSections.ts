import {defineCell, defineMap} from '@gentianshunt/board';
import {ENDED_LEASE} from '@gentianshunt/clock';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

import type {
  LeaveCatchUp,
  LeaveExchange,
  LeaveLog,
  LeaveLogPosition,
  LeaveRecord,
  ProcessActivity,
  StoredLeaves,
  UnconfirmedLeave,
} from './leaveRecord.js';

/** Creates the sections of what an entry knows of leaves and others know. */
export function createLeaveSections() {
  return {
    /** What is known of endpoints that left, as entries exchange it. */
    leaveRecords: defineMap<EndpointId, LeaveRecord>(),
    leaveLog: defineCell<LeaveLog>({version: 0, digest: 0}),
    storedLeaves: defineCell<StoredLeaves>({
      version: 0,
      at: Number.NEGATIVE_INFINITY,
    }),
    /** How far this entry has read the leaves of others. */
    leavePositions: defineMap<NodeId, LeaveLogPosition>(),
    leaveExchange: defineCell<LeaveExchange>({
      lastRequest: 0,
      requestedAt: Number.NEGATIVE_INFINITY,
      lease: ENDED_LEASE,
    }),
    /** Whether this entry may have missed leaves. */
    leaveCatchUp: defineCell<LeaveCatchUp>({kind: 'current'}),
    unconfirmedLeaves: defineMap<EndpointId, UnconfirmedLeave>(),
    /** `null` before the process has started. */
    processActivity: defineCell<ProcessActivity | null>(null),
  };
}
