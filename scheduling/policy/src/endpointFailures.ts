import type {Milliseconds} from '@gentianshunt/clock';

/** Weight of a new outcome in the failure rate. */
const SAMPLE_WEIGHT = 0.3;
/** Time constant of the decay, which lets a failing endpoint be retried. */
export const FAILURE_RATE_DECAY_MS: Milliseconds = 3_000;
/** How long an endpoint counts as unreachable after a failed connection. */
export const UNREACHABLE_MS: Milliseconds = 1_000;
/** Failure rate from which an endpoint fails for an entry. */
export const PROBE_FAILURE_RATE = 0.25;
/**
 * Entries for which an endpoint must fail before all send it probe traffic only.
 * A single failure is above the rate for an entry that sends few requests.
 */
export const MIN_FAILING_ENTRIES = 2;
/** Failure rate of one entry that suffices: two failures in a row. */
export const CERTAIN_FAILURE_RATE = 0.5;
/** Entries that must find an endpoint unreachable before all stop using it. */
export const MIN_UNREACHABLE_ENTRIES = 2;
/** Factor by which an endpoint without full traffic is rated slower. */
export const FAILING_RATE_FACTOR = 8;

/** Updates a failure rate (an exponential moving average) with an outcome. */
export function learnFailureRate(failureRate: number, failed: boolean): number {
  return failureRate + SAMPLE_WEIGHT * ((failed ? 1 : 0) - failureRate);
}

/** Decays a failure rate exponentially with its age. */
export function decayFailureRate(
  failureRate: number,
  ageMs: Milliseconds,
): number {
  return failureRate * Math.exp(-Math.max(0, ageMs) / FAILURE_RATE_DECAY_MS);
}

/** Failures of an endpoint, merged from the reports of all entries. */
export interface EndpointFailures {
  /** The highest failure rate that an entry reports. */
  readonly failureRate: number;
  /** Number of entries that report at least `PROBE_FAILURE_RATE`. */
  readonly failingFor: number;
  /** Number of entries that could not connect to the endpoint. */
  readonly unreachableBy: number;
}

/** How much traffic an endpoint gets; `probe` is a few requests. */
export type TrafficLevel = 'full' | 'probe' | 'none';

/** How an endpoint is used, as far as it is known. */
export interface EndpointUse {
  /** Requests that it gets from all entries; 0 if unknown. */
  readonly requestsPerSecond: number;
  /** Entries that use its set. */
  readonly entries: number;
}

/** Nothing is known of the use of an endpoint. */
export const UNKNOWN_USE: EndpointUse = {requestsPerSecond: 0, entries: 0};

/** Part of the entries for which an endpoint must fail at most. */
const MAX_FAILING_FRACTION = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;
/** How long one failure keeps an entry above `PROBE_FAILURE_RATE`. */
const REMEMBERED_FAILURE_MS: Milliseconds =
  FAILURE_RATE_DECAY_MS * Math.log(SAMPLE_WEIGHT / PROBE_FAILURE_RATE);

/**
 * Computes for how many entries an endpoint must fail. Of many requests a few fail
 * at any time, each for another entry.
 */
function computeFailingEntries(use: EndpointUse): number {
  const remembered =
    (use.requestsPerSecond * REMEMBERED_FAILURE_MS) / MILLISECONDS_PER_SECOND;
  return Math.max(
    MIN_FAILING_ENTRIES,
    Math.min(
      PROBE_FAILURE_RATE * remembered,
      MAX_FAILING_FRACTION * use.entries,
    ),
  );
}

/** Decides how much traffic an endpoint gets after its failures. */
export function decideTrafficLevel(
  failures: EndpointFailures | undefined,
  use: EndpointUse = UNKNOWN_USE,
): TrafficLevel {
  if (failures === undefined) {
    return 'full';
  }
  const {failureRate, failingFor, unreachableBy} = failures;
  if (unreachableBy >= MIN_UNREACHABLE_ENTRIES) {
    return 'none';
  }
  const isFailing =
    failingFor >= computeFailingEntries(use) ||
    failureRate >= CERTAIN_FAILURE_RATE;
  return unreachableBy > 0 || isFailing ? 'probe' : 'full';
}
