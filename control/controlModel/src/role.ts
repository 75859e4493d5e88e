import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  LogIndex,
  LogPosition,
  Member,
  SnapshotHeader,
  SnapshotItem,
  StorageId,
  Term,
  Witness,
} from '@gentianshunt/messages';
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
  /** The position just before the first entry that is kept. */
  readonly base: LogPosition;
  readonly lastIndex: LogIndex;
  readonly lastTerm: Term;
  /** Last index known to be on this member's disk. */
  readonly syncedIndex: LogIndex;
  readonly commitIndex: LogIndex;
}

/** The members from a log index on. */
export interface Membership {
  readonly index: LogIndex;
  readonly members: readonly Member[];
}

/** What the leader knows of another member. */
export interface FollowerProgress {
  readonly nextIndex: LogIndex;
  readonly matchIndex: LogIndex;
  /** Sending time of the latest request that the follower answered. */
  readonly confirmedAt: MonotonicTime;
  /** Last indices of the requests with entries that await an answer. */
  readonly inFlight: readonly LogIndex[];
  /** When the follower last came on, or something was sent anew. */
  readonly progressedAt: MonotonicTime;
  /** The snapshot under way, or `null` while entries are sent. */
  readonly transfer: SnapshotTransfer | null;
}

/** A snapshot on its way to a follower. */
export interface SnapshotTransfer {
  readonly index: LogIndex;
  /** Items the follower has. */
  readonly offset: number;
}

/** A snapshot on its way from the leader. */
export interface IncomingSnapshot {
  readonly header: SnapshotHeader;
  readonly items: readonly SnapshotItem[];
}

/** When the member will stand for election. */
export interface ElectionTimer {
  readonly deadline: MonotonicTime;
  /** Feeds the jitter of the next timeout. */
  readonly attempts: number;
  /** When a leader was last heard; a start counts as well. */
  readonly heardAt: MonotonicTime;
}

/**
 * Whether this member leads, for those who answer on its behalf.
 *
 * A read that arrived at `t` may be answered from the applied state once
 * `applied.index >= readIndex` and either `confirmedSince >= t` (a quorum
 * answered a request sent after the read arrived) or `now < confirmedUntil`
 * (no other member can have been elected yet).
 */
export type Leadership =
  | {readonly kind: 'following'}
  | {
      readonly kind: 'leading';
      readonly term: Term;
      /** First entry of the leader's own term. */
      readonly readIndex: LogIndex;
      /** A quorum answered a request sent at this instant or later. */
      readonly confirmedSince: MonotonicTime;
      /** End of the time in which no other member can be elected. */
      readonly confirmedUntil: MonotonicTime;
    };

/** What a member learnt at its start of one other. */
export interface HelloAnswer {
  readonly storage: StorageId;
  readonly formed: boolean;
}

/** Whether the member may vote and acknowledge with its data folder. */
export type StartCheck =
  | {
      readonly kind: 'checking';
      readonly since: MonotonicTime;
      readonly answers: ReadonlyMap<NodeId, HelloAnswer>;
    }
  | {readonly kind: 'ready'}
  | {readonly kind: 'halted'};

/** What was seen of another member's data folder. */
export interface FolderWitness extends Witness {
  readonly storage: StorageId;
}

/** The applied state, not yet tied to a term and members. */
export interface CapturedState {
  readonly index: LogIndex;
  readonly items: readonly SnapshotItem[];
}
