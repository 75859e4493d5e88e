import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ConsensusMessage,
  ControlToEntry,
  LogEntry,
  LogIndex,
  LogPosition,
  RememberedPosition,
  StateSnapshot,
  StorageId,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ControlDecision} from './decision.js';
import type {ControlTimer} from './observation.js';
import type {Ballot} from './role.js';

/** One write to the disk. */
export type PersistBatch =
  | {
      readonly kind: 'append';
      /** Increases with every batch; `persisted` returns it. */
      readonly sequence: number;
      /** `null` leaves the stored ballot unchanged. */
      readonly ballot: Ballot | null;
      /** Removes the entries from this index on; `null` removes none. */
      readonly truncateFrom: LogIndex | null;
      readonly entries: readonly LogEntry[];
    }
  | {
      /** Replaces everything that is stored. */
      readonly kind: 'compact';
      readonly sequence: number;
      readonly ballot: Ballot;
      readonly snapshot: StateSnapshot;
      /** The log position just before the first entry. */
      readonly base: LogPosition;
      readonly entries: readonly LogEntry[];
    };

/** Why a control daemon must stop using its data folder. */
export type HaltReason =
  | {
      /** A peer remembers a later position than the folder contains. */
      readonly kind: 'oldFolder';
      readonly peer: NodeId;
      /** The position that the peer remembers. */
      readonly witness: RememberedPosition;
    }
  | {
      /** The group has replaced the folder by another one. */
      readonly kind: 'folderReplaced';
      readonly peer: NodeId;
    };

/** An instruction from a control daemon's board to its adapters. */
export type ControlEffect =
  | {readonly kind: 'persist'; readonly batch: PersistBatch}
  | {
      readonly kind: 'sendConsensus';
      readonly to: NodeId;
      /** A receiver with another folder drops the message; `null` is any. */
      readonly storage: StorageId | null;
      readonly message: ConsensusMessage;
    }
  | {
      readonly kind: 'sendEntry';
      readonly to: NodeId;
      readonly message: ControlToEntry;
    }
  | {
      readonly kind: 'setTimer';
      readonly timer: ControlTimer;
      readonly delayMs: Milliseconds;
    }
  /** Writes a decision to the decision log; losing it does no harm. */
  | {readonly kind: 'logDecision'; readonly decision: ControlDecision}
  /** Reports that the member has stopped, and why. */
  | {readonly kind: 'halt'; readonly reason: HaltReason};
