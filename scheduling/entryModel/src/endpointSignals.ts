// What endpoints state about themselves in their answers.
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** What an endpoint states about itself in an answer. */
export interface EndpointSignals {
  /** Requests a second that it takes from all entries; `null` for no limit. */
  readonly limitPerSecond: number | null;
  /**
   * Requests that it may turn away in a second, over all entries, before it fails;
   * `null` if it does not say that it is brittle.
   */
  readonly rejectionsPerSecond: number | null;
  /** Whether this answer turned a request away for want of room. */
  readonly isRejection: boolean;
  /** Whether it asks for no further requests, because it stops. */
  readonly isLeaving: boolean;
  /** How long it wants nothing from this entry; `null` if it does not say. */
  readonly retryAfterMs: Milliseconds | null;
}

/** Signals of an endpoint that states nothing. */
export const NO_SIGNALS: EndpointSignals = {
  limitPerSecond: null,
  rejectionsPerSecond: null,
  isRejection: false,
  isLeaving: false,
  retryAfterMs: null,
};

/** Returns whether an endpoint states anything about itself. */
export function hasSignals(signals: EndpointSignals): boolean {
  const {limitPerSecond, rejectionsPerSecond, isLeaving, retryAfterMs} =
    signals;
  return (
    limitPerSecond !== null ||
    rejectionsPerSecond !== null ||
    isLeaving ||
    retryAfterMs !== null
  );
}

/** What an endpoint takes from all entries together, as it named it. */
export interface SharedLimit {
  /** Requests a second; `null` without a limit. */
  readonly perSecond: number | null;
  /** Rejections a second that it bears; `null` if it is not brittle. */
  readonly rejectionsPerSecond: number | null;
}

/** Returns whether an endpoint fails if it has to turn many requests away. */
export function isBrittle(limit: SharedLimit | undefined): boolean {
  return (limit?.rejectionsPerSecond ?? null) !== null;
}

/** The limits that an endpoint named in an answer to this entry. */
export interface NamedLimit extends SharedLimit {
  readonly set: EndpointSetId;
  readonly namedAt: MonotonicTime;
  /** When this entry reported it to the set leader. */
  readonly reportedAt: MonotonicTime;
}

/** A limit in a message to the set leader. */
export interface ReportedLimit extends SharedLimit {
  readonly endpoint: EndpointId;
  /** Age of the answer when the message was sent. */
  readonly ageMs: Milliseconds;
}

/** The limit of an endpoint, by the latest answer that an entry reported. */
export interface KnownLimit extends SharedLimit {
  readonly set: EndpointSetId;
  readonly namedAt: MonotonicTime;
}
