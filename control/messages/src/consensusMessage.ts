import type {LogEntry, LogIndex, Term} from './logEntry.js';
import type {Member} from './membership.js';
import type {SnapshotHeader, SnapshotItem} from './snapshot.js';

/** How far a member is known to have written its log in a term. */
export interface Witness {
  readonly term: Term;
  readonly index: LogIndex;
}

/** Messages among the control daemons that keep the log. */
export type ConsensusMessage =
  | {
      /** Sent at the start: asks what the others know of this folder. */
      readonly kind: 'memberHello';
      /** Whether the folder belongs to a deployment already. */
      readonly formed: boolean;
    }
  | {
      readonly kind: 'memberHelloReply';
      readonly term: Term;
      /** The members as the sender knows them, or `null` if it knows none. */
      readonly members: readonly Member[] | null;
      /** Whether the sender leads beyond doubt with committed members. */
      readonly leading: boolean;
      /** What the sender saw the receiver's folder write, if anything. */
      readonly witness: Witness | null;
    }
  | {
      /** Asks for a vote; a pre-vote changes no term. */
      readonly kind: 'voteRequest';
      readonly preVote: boolean;
      readonly term: Term;
      readonly lastIndex: LogIndex;
      readonly lastTerm: Term;
    }
  | {
      readonly kind: 'voteReply';
      readonly preVote: boolean;
      readonly term: Term;
      readonly granted: boolean;
    }
  | {
      readonly kind: 'appendRequest';
      readonly term: Term;
      readonly previousIndex: LogIndex;
      readonly previousTerm: Term;
      readonly entries: readonly LogEntry[];
      readonly commitIndex: LogIndex;
      /** Last index on the leader's own disk. */
      readonly syncedIndex: LogIndex;
      /** Sending time by the leader's clock; the reply repeats it. */
      readonly sentAt: number;
    }
  | {
      readonly kind: 'appendReply';
      readonly term: Term;
      readonly success: boolean;
      /** Last index known to match, or a hint where to try next. */
      readonly matchIndex: LogIndex;
      readonly sentAt: number;
    }
  | {
      readonly kind: 'snapshotChunk';
      readonly term: Term;
      readonly header: SnapshotHeader;
      /** Position of the first item of the chunk. */
      readonly offset: number;
      readonly items: readonly SnapshotItem[];
      readonly isLast: boolean;
      readonly sentAt: number;
    }
  | {
      readonly kind: 'snapshotChunkReply';
      readonly term: Term;
      readonly index: LogIndex;
      /** Items received without a gap. */
      readonly received: number;
      readonly sentAt: number;
    };
