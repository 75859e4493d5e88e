import {ENDED_LEASE} from '@gentianshunt/clock';
import type {Lease, MonotonicTime} from '@gentianshunt/clock';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

import type {EndpointRecord} from './endpointRecord.js';

/** A time without a lease that has not ended. */
export interface LeaseLapse {
  readonly since: MonotonicTime;
  /** The last heartbeat that was sent before it. */
  readonly sequence: number;
  /** When it was last logged. */
  readonly loggedAt: MonotonicTime;
}

/**
 * The state of the entry that the decision log wrote last. A difference from
 * the board is the next event to log.
 */
export interface LoggedState {
  readonly leader: NodeId | null;
  readonly version: number;
  /** When the entry adopted the version; `null` before the first one. */
  readonly adoptedAt: MonotonicTime | null;
  readonly hasLease: boolean;
  /** `null` while the entry has a lease, and before its first turn. */
  readonly lapse: LeaseLapse | null;
  /** The latest lease. */
  readonly lease: Lease;
  /** When the lease was last renewed; `null` before the first one. */
  readonly renewedAt: MonotonicTime | null;
  /** When the entry started; `null` before its first turn. */
  readonly startedAt: MonotonicTime | null;
  /** States of the endpoints of led sets. */
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord['state']>;
}

/** Before the first log event. */
export const NOTHING_LOGGED: LoggedState = {
  leader: null,
  version: 0,
  adoptedAt: null,
  hasLease: false,
  lapse: null,
  lease: ENDED_LEASE,
  renewedAt: null,
  startedAt: null,
  endpoints: new Map(),
};
