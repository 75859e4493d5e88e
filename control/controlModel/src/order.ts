import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ConsensusMessage,
  ControlToEntry,
  LogEntry,
  LogIndex,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ControlTimer} from './observation.js';
import type {Ballot} from './role.js';

/** What one write to the disk contains. */
export interface PersistBatch {
  /** Rises with every batch; the observation repeats it. */
  readonly sequence: number;
  /** `null` leaves the stored ballot as it is. */
  readonly ballot: Ballot | null;
  /** Entries from this index on are replaced; `null` removes none. */
  readonly truncateFrom: LogIndex | null;
  readonly entries: readonly LogEntry[];
}

/** Everything a control daemon can have its adapters do. */
export type ControlOrder =
  | {readonly kind: 'persist'; readonly batch: PersistBatch}
  | {
      readonly kind: 'sendConsensus';
      readonly to: NodeId;
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
    };
