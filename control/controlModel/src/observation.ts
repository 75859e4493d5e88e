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

/** The timers of a control daemon; at most one of each kind is set. */
export type ControlTimer =
  | {readonly kind: 'election'}
  | {readonly kind: 'heartbeat'}
  | {readonly kind: 'hello'}
  | {readonly kind: 'sessions'}
  /** A release may be acknowledged now. */
  | {readonly kind: 'acknowledgements'};

/** An event that a control daemon's adapters post to its board. */
export type ControlObservation =
  | {
      readonly kind: 'started';
      readonly ballot: Ballot;
      /** The latest snapshot on disk, if there is one. */
      readonly snapshot: StateSnapshot | null;
      /** The log position just before the first entry on disk. */
      readonly base: LogPosition;
      readonly entries: readonly LogEntry[];
    }
  | {readonly kind: 'timerDue'; readonly timer: ControlTimer}
  /** The batch with this sequence number, and all before it, are synced. */
  | {readonly kind: 'persisted'; readonly sequence: number}
  | {
      /** Other nodes report these nodes as members of the group. */
      readonly kind: 'membersLearnt';
      readonly members: readonly NodeId[];
    }
  | {
      readonly kind: 'consensusMessage';
      readonly from: NodeId;
      /** The sender's data folder. */
      readonly storage: StorageId;
      readonly message: ConsensusMessage;
    }
  | {
      readonly kind: 'entryMessage';
      readonly from: NodeId;
      readonly message: EntryToControl;
    };
