import type {LogEntry, LogIndex, Term} from './logEntry.js';
import type {Member} from './membership.js';
import type {SnapshotHeader, SnapshotItem} from './snapshot.js';

/**
 * What other members remember of a member's data folder from its messages: the
 * latest term, and the last log index known to be on its disk in that term.
 */
export interface RememberedPosition {
  readonly term: Term;
  readonly index: LogIndex;
}

/** Messages between the control daemons, which replicate the log. */
export type ConsensusMessage =
  | {
      /** Sent at the start to ask what others remember of the data folder. */
      readonly kind: 'memberHello';
      /** Whether the data folder already belongs to a bootstrapped group. */
      readonly formed: boolean;
    }
  | {
      readonly kind: 'memberHelloReply';
      /** Whether the hello said that the data folder belongs to a group. */
      readonly formed: boolean;
      readonly term: Term;
      /** The members that the sender knows, or `null` if it knows none. */
      readonly members: readonly Member[] | null;
      /** Whether the sender is a confirmed leader with committed members. */
      readonly leading: boolean;
      /** The position that the sender remembers for the receiver's folder. */
      readonly witness: RememberedPosition | null;
    }
  | {
      /** Asks for a vote; a pre-vote does not change the term. */
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
      /** Last index that the leader has synced to its disk. */
      readonly syncedIndex: LogIndex;
      /** Sending time on the leader's clock; the reply returns it. */
      readonly sentAt: number;
    }
  | {
      readonly kind: 'appendReply';
      readonly term: Term;
      readonly success: boolean;
      /** Last index known to match, or the index to try next on failure. */
      readonly matchIndex: LogIndex;
      readonly sentAt: number;
    }
  | {
      readonly kind: 'snapshotChunk';
      readonly term: Term;
      readonly header: SnapshotHeader;
      /** Position of the chunk's first item in the snapshot. */
      readonly offset: number;
      readonly items: readonly SnapshotItem[];
      /** Whether the chunk completes the snapshot. */
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
