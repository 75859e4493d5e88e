import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ConsensusMessage,
  ControlToEntry,
  LogEntry,
  LogIndex,
  LogPosition,
  StateSnapshot,
  StorageId,
  Witness,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ControlDecision} from './decision.js';
import type {ControlTimer} from './observation.js';
import type {Ballot} from './role.js';

/** What one write to the disk contains. */
export type PersistBatch =
  | {
      readonly kind: 'append';
      /** Rises with every batch; the observation repeats it. */
      readonly sequence: number;
      /** `null` leaves the stored ballot as it is. */
      readonly ballot: Ballot | null;
      /** Entries from this index on are replaced; `null` removes none. */
      readonly truncateFrom: LogIndex | null;
      readonly entries: readonly LogEntry[];
    }
  | {
      /** Replaces all that is stored. */
      readonly kind: 'compact';
      readonly sequence: number;
      readonly ballot: Ballot;
      readonly snapshot: StateSnapshot;
      /** The position just before the first entry. */
      readonly base: LogPosition;
      readonly entries: readonly LogEntry[];
    };

/** Why a control daemon must not go on with its data folder. */
export type HaltReason =
  | {
      /** A peer saw the folder write more than it holds now. */
      readonly kind: 'oldFolder';
      readonly peer: NodeId;
      readonly witness: Witness;
    }
  | {
      /** The members have replaced the folder by another. */
      readonly kind: 'folderReplaced';
      readonly peer: NodeId;
    };

/** Everything a control daemon can have its adapters do. */
export type ControlOrder =
  | {readonly kind: 'persist'; readonly batch: PersistBatch}
  | {
      readonly kind: 'sendConsensus';
      readonly to: NodeId;
      /** The only folder that may take the message; `null` lets any. */
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
  /** Tells of a decision; losing it changes nothing. */
  | {readonly kind: 'tell'; readonly decision: ControlDecision}
  | {readonly kind: 'halt'; readonly reason: HaltReason};
