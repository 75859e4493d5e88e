/** What a member observes of the group, for the decision log and the metrics. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {NodeId} from '@gentianshunt/identifiers';
import type {LogIndex, MemberSummary} from '@gentianshunt/messages';

import type {JoinRequest} from './role.js';

/** A committed entry that a voter lacks. */
export interface LackingVoter {
  readonly index: LogIndex;
  /** When the leader first saw that the voter lacks it. */
  readonly since: MonotonicTime;
}

/** A voter that does not hold what is committed, or does not answer. */
export interface MissingCopy {
  readonly node: NodeId;
  readonly missingMs: Milliseconds;
}

/** How many voters hold what is committed, as the leader knows. */
export type CopyWatch =
  | {readonly kind: 'following'}
  | {
      readonly kind: 'leading';
      readonly members: readonly MemberSummary[];
      readonly lacking: ReadonlyMap<NodeId, LackingVoter>;
      /** Voters that answer and hold what is committed, this one included. */
      readonly copies: number;
      /** Since when there are fewer copies than voters; `null` if all are. */
      readonly missingSince: MonotonicTime | null;
      readonly loggedAt: MonotonicTime;
    };

/** The nodes that wait to join the group, as the leader knows. */
export interface JoinWatch {
  readonly waiting: ReadonlyMap<NodeId, JoinRequest>;
  readonly loggedAt: MonotonicTime;
}

/** A membership that came in force lately. */
export interface RecentMembership {
  /** Equal for equal members in equal roles. */
  readonly digest: string;
  readonly at: MonotonicTime;
}

/** The membership changes since the process started. */
export interface MemberChanges {
  /** The index of the latest one; `null` before the first. */
  readonly index: LogIndex | null;
  readonly count: number;
  /** Those within the window of repetitions, oldest first. */
  readonly recent: readonly RecentMembership[];
  readonly loggedAt: MonotonicTime;
}

/** A time in which the member knows no leader. */
export interface LeaderSearch {
  /** Since when no leader is known; `null` while one is. */
  readonly since: MonotonicTime | null;
  /** When it was last logged; `null` if it was not. */
  readonly loggedAt: MonotonicTime | null;
}

/** The member knows a leader, or has known none for a short time. */
export const NO_SEARCH: LeaderSearch = {since: null, loggedAt: null};

/** No node waits. */
export const NO_JOINERS: JoinWatch = {
  waiting: new Map(),
  loggedAt: Number.NEGATIVE_INFINITY,
};

/** Before the first membership. */
export const NO_MEMBER_CHANGES: MemberChanges = {
  index: null,
  count: 0,
  recent: [],
  loggedAt: Number.NEGATIVE_INFINITY,
};
