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

/** Decides how much traffic an endpoint gets after its failures. */
export function decideTrafficLevel(
  failures: EndpointFailures | undefined,
): TrafficLevel {
  if (failures === undefined) {
    return 'full';
  }
  const {failureRate, failingFor, unreachableBy} = failures;
  if (unreachableBy >= MIN_UNREACHABLE_ENTRIES) {
    return 'none';
  }
  const isFailing =
    failingFor >= MIN_FAILING_ENTRIES || failureRate >= CERTAIN_FAILURE_RATE;
  return unreachableBy > 0 || isFailing ? 'probe' : 'full';
}
