import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointSetId,
  NodeId,
  RequestId,
  SoftwareVersion,
} from '@gentianshunt/identifiers';

/** What began a stream, so that another endpoint may go on with it. */
export interface StreamOrigin {
  /** The software of the endpoint; `null` if that names none. */
  readonly software: SoftwareVersion | null;
}

/** The software of an endpoint; `null` if that names none. */
export type NamedSoftware = StreamOrigin['software'];

/** The origin of a stream, as an entry remembers it. */
export interface RecordedOrigin extends StreamOrigin {
  readonly set: EndpointSetId;
  readonly recordedAt: MonotonicTime;
  /** Whether the entries that keep it for others have been told. */
  readonly isReported: boolean;
}

/** The origin of a stream, as entries tell each other. */
export interface ReportedOrigin extends StreamOrigin {
  /** The attempt that brought the first event. */
  readonly attempt: RequestId;
  readonly set: EndpointSetId;
}

/** What an entry has seen of the software of a set. */
export interface SeenSoftware {
  /** Since when nothing has escaped it; `null` before the first list. */
  readonly since: MonotonicTime | null;
  /** What the endpoints run that the leader of the set listed last. */
  readonly listed: readonly NamedSoftware[];
  /** When other software was seen last. */
  readonly past: ReadonlyMap<NamedSoftware, MonotonicTime>;
  /** What other entries have seen, which this one has asked. */
  readonly handover: HistoryHandover;
}

/** The question of an entry that has started, and the answers to it. */
export interface HistoryHandover {
  /** When the other entries were asked last; `null` before that. */
  readonly askedAt: MonotonicTime | null;
  /** How often they were asked. */
  readonly rounds: number;
  /** By the entry that answered; `null` if that has not seen enough itself. */
  readonly answers: ReadonlyMap<NodeId, SoftwareHistory | null>;
}

/** The software of a set that an entry has seen while streams live. */
export interface SoftwareHistory {
  /** Since when nothing has escaped the entry. */
  readonly since: MonotonicTime;
  readonly software: readonly PastSoftware[];
}

/** Software of a set, and when it was seen last. */
export interface PastSoftware {
  readonly software: NamedSoftware;
  readonly seenAt: MonotonicTime;
}

/** A history as entries tell each other; clocks of two VMs differ. */
export interface ReportedHistory {
  readonly ageMs: Milliseconds;
  readonly software: readonly {
    readonly software: NamedSoftware;
    /** Time since it was seen last. */
    readonly ageMs: Milliseconds;
  }[];
}

/** What an entry has found out of the origin of a stream. */
export type OriginOutcome =
  | {readonly kind: 'open'}
  | {readonly kind: 'found'; readonly origin: StreamOrigin}
  | {readonly kind: 'unknown'};

/** What an entry finds out for a request that takes up a stream. */
export interface OriginInquiry {
  /** The attempt that brought the first event; `null` if not named. */
  readonly attempt: RequestId | null;
  readonly set: EndpointSetId;
  readonly startedAt: MonotonicTime;
  /** The entries that have not answered. */
  readonly unanswered: readonly NodeId[];
  /** Whether one has, so that this entry is in touch with others. */
  readonly isAnswered: boolean;
  /** The software of the set that the entries saw while streams live. */
  readonly seen: readonly NamedSoftware[];
  /** Whether nothing escaped one of these entries. */
  readonly isVouched: boolean;
  readonly outcome: OriginOutcome;
}
