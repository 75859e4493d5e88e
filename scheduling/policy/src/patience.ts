import type {Milliseconds} from '@gentianshunt/clock';

/** Upper bounds of the spans of waiting time that are distinguished. */
export const PATIENCE_BOUNDS_MS: readonly Milliseconds[] = [
  500, 1_000, 2_000, 3_000, 4_500, 6_500, 9_000, 13_000, 18_000, 26_000, 38_000,
  55_000, 80_000, 120_000,
];
/**
 * Observed time of a span above which its counts are halved, so that old
 * observations lose weight.
 */
export const EXPOSURE_LIMIT_MS: Milliseconds = 4_000_000;
/** Weight of the prior in a hazard estimate, as observed time. */
const PRIOR_EXPOSURE_MS: Milliseconds = 40_000;
/** Hazard of leaving per millisecond assumed before any observation. */
const DEFAULT_HAZARD_PER_MS = 1 / 60_000;

/** Number of callers who left in a span, and the time callers spent in it. */
export interface PatienceSpan {
  readonly leaves: number;
  readonly exposureMs: Milliseconds;
}

/** Observations of how long callers wait, by span of waiting time. */
export interface PatienceRecord {
  readonly spans: readonly PatienceSpan[];
}

/** One observed wait. */
export interface ObservedWait {
  readonly waitedMs: Milliseconds;
  /** Whether the caller left; otherwise the wait ended with an answer. */
  readonly left: boolean;
}

/** Creates a record without observations. */
export function createPatienceRecord(): PatienceRecord {
  return {spans: PATIENCE_BOUNDS_MS.map(() => ({leaves: 0, exposureMs: 0}))};
}

/** Adds an observed wait to a record. */
export function recordWait(
  record: PatienceRecord,
  {waitedMs, left}: ObservedWait,
): PatienceRecord {
  const spans = record.spans.map((span, index) => {
    const exposed = computeOverlap(index, 0, waitedMs);
    if (exposed === 0) {
      return span;
    }
    const leftInSpan = left && waitedMs <= PATIENCE_BOUNDS_MS[index]!;
    const decay = span.exposureMs > EXPOSURE_LIMIT_MS ? 0.5 : 1;
    return {
      leaves: span.leaves * decay + (leftInSpan ? 1 : 0),
      exposureMs: span.exposureMs * decay + exposed,
    };
  });
  return {spans};
}

/** The inputs of a survival estimate. */
export interface SurvivalInput {
  /** The record of the request's own class. */
  readonly own: PatienceRecord | undefined;
  /** The record of all requests of its kind, for classes seen rarely. */
  readonly general: PatienceRecord | undefined;
  readonly waitedMs: Milliseconds;
  /** How much longer the caller has to stay. */
  readonly remainingMs: Milliseconds;
}

/**
 * Estimates the probability that a caller stays until the answer has ended,
 * from the hazard accumulated over the remaining time.
 */
export function estimateSurvival(input: SurvivalInput): number {
  const until = input.waitedMs + input.remainingMs;
  let cumulativeHazard = 0;
  for (let index = 0; index < PATIENCE_BOUNDS_MS.length; index += 1) {
    const overlap = computeOverlap(index, input.waitedMs, until);
    if (overlap > 0) {
      cumulativeHazard += overlap * estimateHazard(input, index);
    }
  }
  return Math.exp(-cumulativeHazard);
}

function estimateHazard({own, general}: SurvivalInput, index: number): number {
  const prior = mixHazard(general?.spans[index], DEFAULT_HAZARD_PER_MS);
  return mixHazard(own?.spans[index], prior);
}

function mixHazard(span: PatienceSpan | undefined, prior: number): number {
  const leaves = (span?.leaves ?? 0) + prior * PRIOR_EXPOSURE_MS;
  return leaves / ((span?.exposureMs ?? 0) + PRIOR_EXPOSURE_MS);
}

/** Computes for how long a span overlaps the time between two waits. */
function computeOverlap(
  index: number,
  from: Milliseconds,
  to: Milliseconds,
): Milliseconds {
  const lower = index === 0 ? 0 : PATIENCE_BOUNDS_MS[index - 1]!;
  const isLast = index === PATIENCE_BOUNDS_MS.length - 1;
  const upper = isLast ? Number.POSITIVE_INFINITY : PATIENCE_BOUNDS_MS[index]!;
  return Math.max(0, Math.min(to, upper) - Math.max(from, lower));
}
