import {
  FAULT_BURST_DURATION_MS,
  FAULT_BURST_FACTOR,
  FAULT_START_MS,
} from './fault.js';
import type {FaultName} from './fault.js';
import type {KindSpec, Profile} from './profile.js';
import {createRandom} from './random.js';
import type {Random} from './random.js';
import {
  estimateServiceMs,
  estimateSetMs,
  pickMedianEngine,
} from './serviceModel.js';

/** A request and the caller that sends it. */
export interface Arrival {
  readonly id: string;
  /** When the request arrives, in milliseconds of virtual time. */
  readonly at: number;
  readonly entry: string;
  readonly organisation: string;
  readonly rank: number;
  readonly kind: KindSpec;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly prefix: string | null;
  /** Length of the prompt's prefix, which other requests share. */
  readonly prefixTokens: number;
  /** How long the caller waits for the end of the answer. */
  readonly patienceMs: number;
  /** Whether the caller would wait for the answer if there were no queue. */
  readonly wouldWait: boolean;
}

/** Parameters of the arrivals of a run. */
export interface ArrivalOptions {
  readonly profile: Profile;
  /** Mean offered work divided by the capacity of the model set. */
  readonly load: number;
  readonly seed: number;
  readonly startMs: number;
  readonly durationMs: number;
  readonly fault: FaultName;
}

/** Arrivals drawn to estimate the mean work of an arrival. */
const WORK_SAMPLE_SIZE = 4_000;
/** Length of a shared prefix, as a fraction of the kind's shortest prompt. */
const PREFIX_FRACTION = 0.4;

/** Draws the arrivals of a run: a Poisson process whose rate varies. */
export function createArrivals(options: ArrivalOptions): readonly Arrival[] {
  const {profile, load, seed} = options;
  const meanIntervalMs = estimateMeanWorkMs(profile) / load;
  const meanRateFactor = computeMeanRateFactor(profile);
  const random = createRandom(seed, 1);
  const arrivals: Arrival[] = [];
  const peakRateFactor = FAULT_BURST_FACTOR * profile.burst.factor;
  let at = options.startMs;
  for (;;) {
    at += random.drawExponential(
      (meanIntervalMs * meanRateFactor) / peakRateFactor,
    );
    if (at >= options.startMs + options.durationMs) {
      return arrivals;
    }
    // Thinning: arrivals are drawn at the peak rate, and each is kept with the
    // ratio of the current rate to the peak rate as its probability.
    if (
      random.drawUniform() * peakRateFactor <
      computeRateFactor(options, at)
    ) {
      arrivals.push(drawArrival(profile, random, at, arrivals.length));
    }
  }
}

/** Computes the arrival rate at an instant, relative to the rate at rest. */
function computeRateFactor(
  {profile, fault}: ArrivalOptions,
  at: number,
): number {
  const {periodMs, durationMs, factor} = profile.burst;
  const regular = at % periodMs < durationMs ? factor : 1;
  const inBurst =
    at >= FAULT_START_MS && at < FAULT_START_MS + FAULT_BURST_DURATION_MS;
  return fault === 'burst' && inBurst ? regular * FAULT_BURST_FACTOR : regular;
}

/** Computes the mean rate factor without a fault. */
function computeMeanRateFactor({burst}: Profile): number {
  return 1 + ((burst.factor - 1) * burst.durationMs) / burst.periodMs;
}

/**
 * Estimates how long an arrival occupies the whole model set, as the mean over
 * all arrivals.
 */
function estimateMeanWorkMs(profile: Profile): number {
  const random = createRandom(0, 2);
  const set = profile.kinds[0]!.set;
  let totalMs = 0;
  for (let index = 0; index < WORK_SAMPLE_SIZE; index += 1) {
    const arrival = drawArrival(profile, random, 0, index);
    if (arrival.kind.set === set) {
      totalMs += estimateWorkMs(profile, arrival);
    }
  }
  return totalMs / WORK_SAMPLE_SIZE;
}

/**
 * Estimates how long an arrival occupies its whole endpoint set. If the
 * caller's patience ends during the work, only the work until then counts.
 */
function estimateWorkMs(profile: Profile, arrival: Arrival): number {
  const engine = pickMedianEngine(profile, arrival.kind.set);
  const serviceMs = estimateServiceMs(engine, arrival);
  const fraction = Math.min(1, arrival.patienceMs / serviceMs);
  return fraction * estimateSetMs(profile, arrival.kind, arrival);
}

function drawArrival(
  profile: Profile,
  random: Random,
  at: number,
  index: number,
): Arrival {
  const organisation = random.drawWeighted(profile.organisations).id;
  const kind = random.drawWeighted(profile.kinds);
  const {rank} = random.drawWeighted(kind.tiers);
  const promptTokens = random.drawLength(kind.prompt);
  const answerTokens = random.drawLength(kind.answer);
  const prefixNumber = Math.floor(random.drawUniform() * kind.prefixCount);
  const entryIndex = Math.floor(random.drawUniform() * profile.entries.length);
  const patienceMs = drawPatience(kind, random);
  const size = {promptTokens, answerTokens};
  const medianEngine = pickMedianEngine(profile, kind.set);
  return {
    id: `r${index}`,
    at,
    entry: profile.entries[entryIndex]!,
    organisation,
    rank,
    kind,
    ...size,
    prefix:
      kind.prefixCount === 0
        ? null
        : `${organisation}.${kind.id}.${prefixNumber}`,
    prefixTokens: Math.min(
      promptTokens,
      Math.round(PREFIX_FRACTION * kind.prompt.min),
    ),
    patienceMs,
    wouldWait: patienceMs >= estimateServiceMs(medianEngine, size),
  };
}

function drawPatience(kind: KindSpec, random: Random): number {
  const {earlyFraction, earlyMedianMs, medianMs, sigma} = kind.patience;
  const isEarly = random.drawUniform() < earlyFraction;
  return random.drawLogNormal(isEarly ? earlyMedianMs : medianMs, sigma);
}
