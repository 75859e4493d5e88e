/** What an entry measures of its streams and dispatches. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** Tokens of a stream's answer at its latest progress event. */
export interface StreamProgress {
  readonly answerTokens: number;
  readonly at: MonotonicTime;
}

/** An endpoint's decoding speed, measured on this entry's streams. */
export interface ObservedDecodeRate {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly decodeMsPerToken: Milliseconds;
  readonly observedAt: MonotonicTime;
}

/** Failures of this entry's dispatches at an endpoint. */
export interface EndpointHealth {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  /** Fraction of the dispatches that failed, as a decaying average. */
  readonly failureRate: number;
  readonly observedAt: MonotonicTime;
  /** When a connection to the endpoint failed last. */
  readonly unreachableAt: MonotonicTime;
}
