import type {MonotonicTime} from '@gentianshunt/clock';
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
  /** Since when nothing has escaped it. */
  readonly since: MonotonicTime;
  /** What the endpoints run that the leader of the set listed last. */
  readonly listed: readonly NamedSoftware[];
  /** When other software was seen last. */
  readonly past: ReadonlyMap<NamedSoftware, MonotonicTime>;
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
