import type {Lease, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  LogIndex,
  LogPosition,
  Member,
  RememberedPosition,
  SnapshotHeader,
  SnapshotItem,
  StateSnapshot,
  StorageId,
  Term,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** A member's Raft role in the current term. */
export type Role =
  | {readonly kind: 'follower'; readonly leader: NodeId | null}
  | {readonly kind: 'preCandidate'; readonly votes: ReadonlySet<NodeId>}
  | {readonly kind: 'candidate'; readonly votes: ReadonlySet<NodeId>}
  | {readonly kind: 'leader'; readonly since: MonotonicTime};

/** A member's term and its vote in that term; synced before it replies. */
export interface Ballot {
  readonly term: Term;
  readonly votedFor: NodeId | null;
}

/** The bounds of the log and how much of it is synced and committed. */
export interface LogStatus {
  /** The position just before the first entry of the log. */
  readonly base: LogPosition;
  readonly lastIndex: LogIndex;
  readonly lastTerm: Term;
  /** The last index known to be synced to this member's disk. */
  readonly syncedIndex: LogIndex;
  readonly commitIndex: LogIndex;
}

/** The group's members, in force from a log index on. */
export interface Membership {
  readonly index: LogIndex;
  readonly members: readonly Member[];
}

/** The leader's record of how far a follower's log reaches. */
export interface FollowerProgress {
  /** The first index to send next. */
  readonly nextIndex: LogIndex;
  /** The last index known to match the leader's log. */
  readonly matchIndex: LogIndex;
  /** When the leader began to replicate to this data folder. */
  readonly since: MonotonicTime;
  /**
   * When the node asked to join with another folder; `null` if it has not, or
   * has answered a later request from this folder.
   */
  readonly lostSince: MonotonicTime | null;
  /** When the latest request that the follower answered was sent. */
  readonly confirmedAt: MonotonicTime;
  /** The last index of each unanswered request that carries entries. */
  readonly inFlight: readonly LogIndex[];
  /** The index before the entries of the first unanswered request. */
  readonly inFlightAfter: LogIndex;
  /** When the follower last advanced or a transmission was (re)started. */
  readonly progressedAt: MonotonicTime;
  /** The snapshot transfer, or `null` while entries are sent. */
  readonly transfer: SnapshotTransfer | null;
}

/** A node's request to join the group with a data folder. */
export interface JoinRequest {
  readonly storage: StorageId;
  /** When the leader got the first hello of this request. */
  readonly since: MonotonicTime;
  /** When the leader got the latest hello of this request. */
  readonly renewedAt: MonotonicTime;
}

/** The transfer of a snapshot to a follower. */
export interface SnapshotTransfer {
  /** The snapshot that was the latest one when the transfer began. */
  readonly snapshot: StateSnapshot;
  /** The number of items that the follower has acknowledged. */
  readonly offset: number;
}

/** The part of the leader's snapshot that has arrived. */
export interface IncomingSnapshot {
  readonly header: SnapshotHeader;
  readonly items: readonly SnapshotItem[];
}

/** When the member will start an election. */
export interface ElectionTimer {
  readonly deadline: MonotonicTime;
  /** Counts the timeouts set; seeds the jitter of the next one. */
  readonly attempts: number;
  /** Elections in a row that this member started and nobody won. */
  readonly failedElections: number;
  readonly leaderContact: LeaderContact;
}

/** Why a member may support a leader that holds the leader lease. */
export type LeaderContact =
  /** No leader can hold a lease that this member has supported. */
  | {readonly kind: 'none'}
  /** A leader may have reached the member just before it started. */
  | {readonly kind: 'started'; readonly at: MonotonicTime}
  /** A leader has reached the member since it started. */
  | {readonly kind: 'contacted'; readonly at: MonotonicTime};

/**
 * Whether this member leads, for the controllers that answer entries.
 *
 * A read that arrived at time `t` may be answered from the applied state once
 * `applied.index >= readIndex` and either `confirmedSince >= t` (a quorum
 * answered a request sent after the read arrived) or the leader lease is valid
 * (no other member can have been elected yet).
 */
export type Leadership =
  | {readonly kind: 'following'}
  | {
      readonly kind: 'leading';
      readonly term: Term;
      /** The first log index of the leader's own term. */
      readonly readIndex: LogIndex;
      /** A quorum answered a request sent at this time or later. */
      readonly confirmedSince: MonotonicTime;
      /** Time in which a quorum last answered; `null` before it did. */
      readonly roundTripMs: Milliseconds | null;
      /** No other member can be elected before it ends. */
      readonly lease: Lease;
    };

/** How the clocks of a leader advance relative to each other. */
export interface LeaderClock {
  /** The time of day less the monotonic time. */
  readonly offsetMs: Milliseconds;
  /** Since when the VM has not been suspended. */
  readonly steadySince: MonotonicTime;
}

/** What another node answered when this member started. */
export interface HelloAnswer {
  readonly storage: StorageId;
  /** Whether the node belongs to a group. */
  readonly inGroup: boolean;
  /**
   * Whether the node, asked in this start, neither leads nor has had contact
   * with a leader since its own start.
   */
  readonly leaderless: boolean;
  /** The nodes that are voters by what the node knows. */
  readonly voters: readonly NodeId[];
}

/**
 * Whether the member's data folder may vote and acknowledge entries. At the
 * start it may not: the folder may be a stale copy, and the member first asks
 * the others which term and log position they remember of it.
 */
export type StartCheck =
  | {
      readonly kind: 'checking';
      readonly since: MonotonicTime;
      readonly answers: ReadonlyMap<NodeId, HelloAnswer>;
    }
  | {
      readonly kind: 'ready';
      readonly answers: ReadonlyMap<NodeId, HelloAnswer>;
    }
  | {readonly kind: 'halted'};

/** The latest term and log position seen of another data folder. */
export interface RememberedFolderPosition extends RememberedPosition {
  readonly storage: StorageId;
}

/** A copy of the applied state, before the log adds term and members. */
export interface CapturedState {
  readonly index: LogIndex;
  readonly items: readonly SnapshotItem[];
}
