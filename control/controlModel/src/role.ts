import type {MonotonicTime} from '@gentianshunt/clock';
import type {LogIndex, Term} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** What a member is in the current term. */
export type Role =
  | {readonly kind: 'follower'; readonly leader: NodeId | null}
  | {readonly kind: 'preCandidate'; readonly votes: ReadonlySet<NodeId>}
  | {readonly kind: 'candidate'; readonly votes: ReadonlySet<NodeId>}
  | {readonly kind: 'leader'; readonly since: MonotonicTime};

/** The synced term and vote of a member. */
export interface Ballot {
  readonly term: Term;
  readonly votedFor: NodeId | null;
}

/** How far the log reaches. */
export interface LogStatus {
  readonly lastIndex: LogIndex;
  readonly lastTerm: Term;
  /** Last index known to be on this member's disk. */
  readonly syncedIndex: LogIndex;
  readonly commitIndex: LogIndex;
}

/** What the leader knows of a follower. */
export interface FollowerProgress {
  readonly nextIndex: LogIndex;
  readonly matchIndex: LogIndex;
  /** Sending time of the latest request that the follower answered. */
  readonly confirmedAt: MonotonicTime;
  /** Whether a request with entries awaits its answer. */
  readonly inFlight: boolean;
  readonly sentAt: MonotonicTime;
  readonly round: number;
}

/** When the member will stand for election. */
export interface ElectionTimer {
  readonly deadline: MonotonicTime;
  /** Feeds the jitter of the next timeout. */
  readonly attempts: number;
}
