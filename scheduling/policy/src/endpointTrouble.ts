import type {Milliseconds} from '@gentianshunt/clock';

/** Weight of a dispatch in the share of those that failed. */
const SAMPLE_WEIGHT = 0.3;
/** Time in which an old share fades, so that an endpoint is tried again. */
export const TROUBLE_FADE_MS: Milliseconds = 3_000;
/** Time for which a failed connection keeps work away. */
export const UNREACHABLE_MS: Milliseconds = 1_000;
/** Share of failed dispatches from which an endpoint is in trouble. */
export const TROUBLED_SHARE = 0.25;
/** Entries that must find an endpoint unreachable for all to leave it. */
export const UNREACHABLE_WITNESSES = 2;
/** How much slower an endpoint in trouble counts. */
export const TROUBLED_RATE_FACTOR = 8;

/** Mixes the outcome of a dispatch into the share of those that failed. */
export function learnFailure(share: number, failed: boolean): number {
  return share + SAMPLE_WEIGHT * ((failed ? 1 : 0) - share);
}

/** Lets a share fade with its age. */
export function ageTrouble(share: number, ageMs: Milliseconds): number {
  return share * Math.exp(-Math.max(0, ageMs) / TROUBLE_FADE_MS);
}

/** What the entries together say of an endpoint. */
export interface TroubleVerdict {
  /** The highest share that any of them reports. */
  readonly failureShare: number;
  /** Entries that could not connect to it. */
  readonly unreachableBy: number;
}

/** How much work an endpoint gets. */
export type EndpointTrust = 'full' | 'probe' | 'none';

/** Decides how much work an endpoint gets after what was suffered there. */
export function decideTrust(
  verdict: TroubleVerdict | undefined,
): EndpointTrust {
  if (verdict === undefined) {
    return 'full';
  }
  const {failureShare, unreachableBy} = verdict;
  if (unreachableBy >= UNREACHABLE_WITNESSES) {
    return 'none';
  }
  return unreachableBy > 0 || failureShare >= TROUBLED_SHARE ? 'probe' : 'full';
}
