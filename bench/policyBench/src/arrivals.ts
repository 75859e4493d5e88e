import {BURST_FACTOR, BURST_LENGTH_MS, FAULT_AT_MS} from './fault.js';
import type {FaultName} from './fault.js';
import type {KindSpec, Profile} from './profile.js';
import {createRandom} from './random.js';
import type {Random} from './random.js';
import {
  estimateServiceMs,
  estimateSetMs,
  pickMedianEngine,
} from './serviceModel.js';

/** A request as its caller sends it. */
export interface Arrival {
  readonly id: string;
  readonly at: number;
  readonly entry: string;
  readonly organisation: string;
  readonly rank: number;
  readonly kind: KindSpec;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly prefix: string | null;
  /** Prompt tokens that an earlier request with the prefix has in common. */
  readonly prefixTokens: number;
  /** How long the caller waits for the end of the answer. */
  readonly patienceMs: number;
  /** Whether the caller would wait for the work alone, without a queue. */
  readonly wouldWait: boolean;
}

/** What arrivals are drawn from. */
export interface ArrivalOptions {
  readonly profile: Profile;
  /** Offered work over capacity, averaged over time. */
  readonly load: number;
  readonly seed: number;
  readonly startMs: number;
  readonly durationMs: number;
  readonly fault: FaultName;
}

const SAMPLE_SIZE = 4_000;
const PREFIX_SHARE = 0.4;

/** Draws the arrivals of a run. */
export function createArrivals(options: ArrivalOptions): readonly Arrival[] {
  const {profile, load, seed} = options;
  const meanMs = measureMeanWork(profile) / load;
  const swell = readMeanSwell(profile);
  const random = createRandom(seed, 1);
  const arrivals: Arrival[] = [];
  const peak = BURST_FACTOR * profile.burst.factor;
  let at = options.startMs;
  for (;;) {
    at += random.drawExponential((meanMs * swell) / peak);
    if (at >= options.startMs + options.durationMs) {
      return arrivals;
    }
    // Thinning a process at the peak rate gives the rate that varies.
    if (random.drawUniform() * peak < readSwell(options, at)) {
      arrivals.push(drawArrival(profile, random, at, arrivals.length));
    }
  }
}

function readSwell({profile, fault}: ArrivalOptions, at: number): number {
  const {everyMs, lengthMs, factor} = profile.burst;
  const regular = at % everyMs < lengthMs ? factor : 1;
  const inBurst = at >= FAULT_AT_MS && at < FAULT_AT_MS + BURST_LENGTH_MS;
  return fault === 'burst' && inBurst ? regular * BURST_FACTOR : regular;
}

function readMeanSwell({burst}: Profile): number {
  return 1 + ((burst.factor - 1) * burst.lengthMs) / burst.everyMs;
}

/** Mean time of the whole model set that one arrival asks for. */
function measureMeanWork(profile: Profile): number {
  const random = createRandom(0, 2);
  const set = profile.kinds[0]!.set;
  let total = 0;
  for (let index = 0; index < SAMPLE_SIZE; index += 1) {
    const arrival = drawArrival(profile, random, 0, index);
    if (arrival.kind.set === set) {
      total += measureWork(profile, arrival);
    }
  }
  return total / SAMPLE_SIZE;
}

/** A caller who leaves early asks only for the work done until then. */
function measureWork(profile: Profile, arrival: Arrival): number {
  const engine = pickMedianEngine(profile, arrival.kind.set);
  const serviceMs = estimateServiceMs(engine, arrival);
  const share = Math.min(1, arrival.patienceMs / serviceMs);
  return share * estimateSetMs(profile, arrival.kind, arrival);
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
  const number = Math.floor(random.drawUniform() * kind.prefixes);
  const entry = Math.floor(random.drawUniform() * profile.entries.length);
  const patienceMs = drawPatience(kind, random);
  const size = {promptTokens, answerTokens};
  const median = pickMedianEngine(profile, kind.set);
  return {
    id: `r${index}`,
    at,
    entry: profile.entries[entry]!,
    organisation,
    rank,
    kind,
    ...size,
    prefix: kind.prefixes === 0 ? null : `${organisation}.${kind.id}.${number}`,
    prefixTokens: Math.min(
      promptTokens,
      Math.round(PREFIX_SHARE * kind.prompt.least),
    ),
    patienceMs,
    wouldWait: patienceMs >= estimateServiceMs(median, size),
  };
}

function drawPatience(kind: KindSpec, random: Random): number {
  const {earlyShare, earlyMedianMs, medianMs, sigma} = kind.patience;
  const early = random.drawUniform() < earlyShare;
  return random.drawLogNormal(early ? earlyMedianMs : medianMs, sigma);
}
