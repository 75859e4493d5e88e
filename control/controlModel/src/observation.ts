import type {
  ConsensusMessage,
  EntryToControl,
  LogEntry,
  LogPosition,
  StateSnapshot,
  StorageId,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {Ballot} from './role.js';

/** The timers of a control daemon; one of each name runs at a time. */
export type ControlTimer =
  | {readonly kind: 'election'}
  | {readonly kind: 'heartbeat'}
  | {readonly kind: 'hello'}
  | {readonly kind: 'sessions'};

/** Everything that can happen to a control daemon. */
export type ControlObservation =
  | {
      readonly kind: 'started';
      readonly ballot: Ballot;
      /** The latest snapshot on disk, if there is one. */
      readonly snapshot: StateSnapshot | null;
      /** The position just before the first entry. */
      readonly base: LogPosition;
      readonly entries: readonly LogEntry[];
    }
  | {readonly kind: 'timerDue'; readonly timer: ControlTimer}
  | {readonly kind: 'persisted'; readonly sequence: number}
  | {
      /** Others know these nodes as members. */
      readonly kind: 'membersLearnt';
      readonly members: readonly NodeId[];
    }
  | {
      readonly kind: 'consensusMessage';
      readonly from: NodeId;
      /** The data folder of the sender. */
      readonly storage: StorageId;
      readonly message: ConsensusMessage;
    }
  | {
      readonly kind: 'entryMessage';
      readonly from: NodeId;
      readonly message: EntryToControl;
    };
