// What endpoints state about themselves in their answers.
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** What an endpoint states about itself in an answer. */
export interface EndpointSignals {
  /** Requests a second that it takes from all entries; `null` for no limit. */
  readonly limitPerSecond: number | null;
  /** Whether it asks for no further requests, because it stops. */
  readonly isLeaving: boolean;
  /** How long it wants nothing from this entry; `null` if it does not say. */
  readonly retryAfterMs: Milliseconds | null;
}

/** Signals of an endpoint that states nothing. */
export const NO_SIGNALS: EndpointSignals = {
  limitPerSecond: null,
  isLeaving: false,
  retryAfterMs: null,
};

/** Returns whether an endpoint states anything about itself. */
export function hasSignals(signals: EndpointSignals): boolean {
  const {limitPerSecond, isLeaving, retryAfterMs} = signals;
  return limitPerSecond !== null || isLeaving || retryAfterMs !== null;
}

/** The rate that an endpoint named in an answer to this entry. */
export interface NamedLimit {
  readonly set: EndpointSetId;
  /** Requests a second; `null` once an answer named no limit any more. */
  readonly perSecond: number | null;
  readonly namedAt: MonotonicTime;
  /** When this entry reported it to the set leader. */
  readonly reportedAt: MonotonicTime;
}

/** A limit in a message to the set leader. */
export interface ReportedLimit {
  readonly endpoint: EndpointId;
  /** Requests a second; `null` if answers name none any more. */
  readonly perSecond: number | null;
  /** Age of the answer when the message was sent. */
  readonly ageMs: Milliseconds;
}

/** The limit of an endpoint, by the latest answer that an entry reported. */
export interface KnownLimit {
  readonly set: EndpointSetId;
  readonly perSecond: number | null;
  readonly namedAt: MonotonicTime;
}
