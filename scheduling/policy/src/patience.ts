import type {Milliseconds} from '@gentianshunt/clock';

/** Upper bounds of the spans of waiting time that are told apart. */
export const PATIENCE_BOUNDS_MS: readonly Milliseconds[] = [
  500, 1_000, 2_000, 3_000, 4_500, 6_500, 9_000, 13_000, 18_000, 26_000, 38_000,
  55_000, 80_000, 120_000,
];
/** Time spent in a span after which its oldest observations fade. */
export const EXPOSURE_LIMIT_MS: Milliseconds = 4_000_000;
/** Weight of the general record in that of one class, as time observed. */
const PRIOR_EXPOSURE_MS: Milliseconds = 40_000;
/** Chance to leave in a millisecond assumed before anything was observed. */
const DEFAULT_HAZARD_PER_MS = 1 / 60_000;

/** Callers who left in one span, and the time callers spent in it. */
export interface PatienceSpan {
  readonly leaves: number;
  readonly exposureMs: Milliseconds;
}

/** What is known of how long callers wait, by span of waiting time. */
export interface PatienceRecord {
  readonly spans: readonly PatienceSpan[];
}

/** One observed wait. */
export interface ObservedWait {
  readonly waitedMs: Milliseconds;
  /** Whether the caller left; otherwise the wait ended with an answer. */
  readonly left: boolean;
}

/** Creates a record of no observation. */
export function createPatienceRecord(): PatienceRecord {
  return {spans: PATIENCE_BOUNDS_MS.map(() => ({leaves: 0, exposureMs: 0}))};
}

/** Adds an observed wait to a record. */
export function recordWait(
  record: PatienceRecord,
  {waitedMs, left}: ObservedWait,
): PatienceRecord {
  const spans = record.spans.map((span, index) => {
    const exposed = readOverlap(index, 0, waitedMs);
    if (exposed === 0) {
      return span;
    }
    const leftHere = left && waitedMs <= PATIENCE_BOUNDS_MS[index]!;
    const fade = span.exposureMs > EXPOSURE_LIMIT_MS ? 0.5 : 1;
    return {
      leaves: span.leaves * fade + (leftHere ? 1 : 0),
      exposureMs: span.exposureMs * fade + exposed,
    };
  });
  return {spans};
}

/** What a survival estimate is made from. */
export interface SurvivalInput {
  /** The record of the request's own class. */
  readonly own: PatienceRecord | undefined;
  /** The record of all requests of its kind, for classes seen rarely. */
  readonly general: PatienceRecord | undefined;
  readonly waitedMs: Milliseconds;
  /** For how much longer the caller has to stay. */
  readonly remainingMs: Milliseconds;
}

/** Estimates the chance that a caller stays until the answer has ended. */
export function estimateSurvival(input: SurvivalInput): number {
  const until = input.waitedMs + input.remainingMs;
  let accumulated = 0;
  for (let index = 0; index < PATIENCE_BOUNDS_MS.length; index += 1) {
    const overlap = readOverlap(index, input.waitedMs, until);
    if (overlap > 0) {
      accumulated += overlap * readHazard(input, index);
    }
  }
  return Math.exp(-accumulated);
}

function readHazard({own, general}: SurvivalInput, index: number): number {
  const prior = blend(general?.spans[index], DEFAULT_HAZARD_PER_MS);
  return blend(own?.spans[index], prior);
}

function blend(span: PatienceSpan | undefined, prior: number): number {
  const leaves = (span?.leaves ?? 0) + prior * PRIOR_EXPOSURE_MS;
  return leaves / ((span?.exposureMs ?? 0) + PRIOR_EXPOSURE_MS);
}

/** The part of a span that lies between two waiting times. */
function readOverlap(
  index: number,
  from: Milliseconds,
  to: Milliseconds,
): Milliseconds {
  const lower = index === 0 ? 0 : PATIENCE_BOUNDS_MS[index - 1]!;
  const isLast = index === PATIENCE_BOUNDS_MS.length - 1;
  const upper = isLast ? Number.POSITIVE_INFINITY : PATIENCE_BOUNDS_MS[index]!;
  return Math.max(0, Math.min(to, upper) - Math.max(from, lower));
}
