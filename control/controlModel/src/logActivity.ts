/** What a member knows of the size of its log and of its snapshots. */
import type {MonotonicTime} from '@gentianshunt/clock';
import type {NodeId} from '@gentianshunt/identifiers';
import type {LogIndex, Term} from '@gentianshunt/messages';

/** The part of the log that the member holds in memory. */
export interface LogUsage {
  readonly entries: number;
  readonly bytes: number;
  /** Bytes of the entries after the latest snapshot. */
  readonly sinceSnapshotBytes: number;
  /** The bytes at which the growth of the log was last recorded. */
  readonly recordedBytes: number;
}

/** Where a snapshot that a member stores comes from. */
export type SnapshotOrigin =
  /** A copy of the member's own state. */
  | 'captured'
  /** Sent by the leader. */
  | 'received';

/** A snapshot that is being written to the member's disk. */
export interface StoringSnapshot {
  readonly origin: SnapshotOrigin;
  /** The batch that contains it. */
  readonly sequence: number;
  readonly startedAt: MonotonicTime;
}

/** A snapshot of which chunks have arrived. */
export interface ReceivingSnapshot {
  readonly index: LogIndex;
  readonly chunks: number;
  readonly startedAt: MonotonicTime;
}

/** A snapshot of which chunks have been sent to a follower. */
export interface SendingSnapshot extends ReceivingSnapshot {
  /** Items that the follower has acknowledged. */
  readonly offset: number;
  readonly bytes: number;
}

/** The snapshots that a member stores, receives and sends. */
export interface SnapshotActivity {
  /** Index of the latest snapshot; 0 if there is none. */
  readonly index: LogIndex;
  readonly storing: StoringSnapshot | null;
  readonly receiving: ReceivingSnapshot | null;
  readonly sending: ReadonlyMap<NodeId, SendingSnapshot>;
}

/** How far a member has come since its process started. */
export interface StartProgress {
  readonly startedAt: MonotonicTime;
  /** The latest term in which the member, as leader, could answer reads. */
  readonly confirmedTerm: Term;
}

/** Usage of an empty log. */
export const EMPTY_LOG_USAGE: LogUsage = {
  entries: 0,
  bytes: 0,
  sinceSnapshotBytes: 0,
  recordedBytes: 0,
};

/** Activity of a member that has no snapshot. */
export const NO_SNAPSHOT_ACTIVITY: SnapshotActivity = {
  index: 0,
  storing: null,
  receiving: null,
  sending: new Map(),
};
