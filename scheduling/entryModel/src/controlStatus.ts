/** What an entry knows of the control daemons, and what it reports to them. */
import type {
  Instant,
  Lease,
  Milliseconds,
  MonotonicTime,
} from '@gentianshunt/clock';
import type {
  CountReport,
  EntryDirectory,
  UnconfirmedReason,
} from '@gentianshunt/messages';
import type {Identifier, NodeId} from '@gentianshunt/identifiers';

/** What came back for a heartbeat. */
export type HeartbeatAnswer =
  | {readonly kind: 'none'}
  /** The reply renewed the lease. */
  | {readonly kind: 'renewed'; readonly afterMs: Milliseconds}
  /** The reply came, and renewed nothing. */
  | {readonly kind: 'unused'; readonly afterMs: Milliseconds}
  | {
      readonly kind: 'notLeader';
      readonly afterMs: Milliseconds;
      /** The leader that the daemon knows, if any. */
      readonly leader: NodeId | null;
    }
  | {
      /** The daemon leads, and answers once it is confirmed. */
      readonly kind: 'leaderUnconfirmed';
      readonly afterMs: Milliseconds;
      readonly reason: UnconfirmedReason;
    };

/** A heartbeat of this entry, with what came back. */
export interface SentHeartbeat {
  readonly sequence: number;
  readonly to: NodeId;
  readonly sentAt: Instant;
  readonly answer: HeartbeatAnswer;
}

/** The entry's lease and its session with the leading control daemon. */
export interface ControlStatus {
  /** The control daemon last known to lead. */
  readonly leader: NodeId | null;
  /** Version of the configuration that the entry holds. */
  readonly version: number;
  /** The lease under which the entry uses the configuration. */
  readonly lease: Lease;
  /** Sequence of the latest heartbeat. */
  readonly lastSequence: number;
  /** The smoothed round trip of heartbeats; `null` before the first. */
  readonly roundTripMs: Milliseconds | null;
  /** The latest heartbeats, newest last. */
  readonly heartbeats: readonly SentHeartbeat[];
  readonly directory: EntryDirectory;
}

/** Whether the entry accepts new requests. */
export type ServiceState =
  | {readonly kind: 'serving'}
  | {readonly kind: 'draining'; readonly since: MonotonicTime};

/** State of the count reports of this process. */
export interface CountState {
  /** Sequence of the latest count report. */
  readonly lastSequence: number;
  /** The unacknowledged report, which is resent unchanged. */
  readonly open: CountReport | null;
  readonly sentAt: MonotonicTime;
}

/** Key of the counts of one month, tier, organisation and kind. */
export type CountKey = Identifier<'count'>;
