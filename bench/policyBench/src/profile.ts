import type {LengthRange} from './random.js';

/** Performance of a simulated engine. */
export interface EngineSpec {
  readonly id: string;
  readonly set: string;
  /** Maximum number of requests that run at once. */
  readonly batchSize: number;
  /** Prompt tokens processed a second while no other request runs. */
  readonly prefillTokensPerSecond: number;
  /** Duration of a decode step with an empty batch, in milliseconds. */
  readonly stepBaseMs: number;
  /** What each running request adds to the duration of a decode step. */
  readonly stepPerRequestMs: number;
  /** Capacity of the prefix cache in prompt tokens. */
  readonly cacheTokens: number;
}

/** How long the callers of a kind wait, as two log-normal distributions. */
export interface Patience {
  /** Fraction of callers that disconnect early, even when served quickly. */
  readonly earlyFraction: number;
  /** Median patience of the callers that disconnect early. */
  readonly earlyMedianMs: number;
  /** Median patience of the other callers. */
  readonly medianMs: number;
  /** Standard deviation of the patience's logarithm. */
  readonly sigma: number;
}

/** A request kind and its traffic. */
export interface KindSpec {
  readonly id: string;
  readonly set: string;
  /** Weight of an answered request in goodput. */
  readonly goodputWeight: number;
  /** Relative frequency among the arrivals. */
  readonly weight: number;
  readonly prompt: LengthRange;
  readonly answer: LengthRange;
  readonly patience: Patience;
  /** Relative frequencies of the tiers. */
  readonly tiers: readonly TierFrequency[];
  /** Number of prompt prefixes that each organisation uses. */
  readonly prefixCount: number;
}

/** How often requests of a kind arrive in a tier. */
export interface TierFrequency {
  readonly rank: number;
  readonly weight: number;
}

/** An organisation and its traffic. */
export interface OrganisationSpec {
  readonly id: string;
  /** Relative frequency among the arrivals. */
  readonly weight: number;
}

/**
 * A simulated deployment and its traffic. The endpoint set of the first kind is
 * the model set, which the load of a run refers to.
 */
export interface Profile {
  readonly id: string;
  readonly engines: readonly EngineSpec[];
  readonly kinds: readonly KindSpec[];
  readonly organisations: readonly OrganisationSpec[];
  readonly tierCount: number;
  /** Names of the entries; the first one leads all sets at the start. */
  readonly entries: readonly string[];
  /** One-way delay of messages of the entries. */
  readonly linkDelayMs: number;
  readonly burst: BurstSpec;
}

/** Periodic bursts, which multiply the arrival rate by a factor. */
export interface BurstSpec {
  readonly periodMs: number;
  readonly durationMs: number;
  readonly factor: number;
}

/** The tiers of both profiles, highest first. */
export const TIER_IDS = ['gold', 'silver', 'bronze'] as const;

/** Creates model engines with the given relative speeds. */
export function createModelEngines(
  set: string,
  speeds: readonly number[],
): readonly EngineSpec[] {
  return speeds.map((speed, index) => ({
    id: `${set}${index + 1}`,
    set,
    batchSize: speed >= 1 ? 16 : 8,
    prefillTokensPerSecond: 6_000 * speed,
    stepBaseMs: 16 / speed,
    stepPerRequestMs: 0.9 / speed,
    cacheTokens: 60_000,
  }));
}

/** Creates workers of a plain service; their prompts take almost no time. */
export function createServiceEngines(
  set: string,
  count: number,
): readonly EngineSpec[] {
  return Array.from({length: count}, (_, index) => ({
    id: `${set}${index + 1}`,
    set,
    batchSize: 4,
    prefillTokensPerSecond: 100_000,
    stepBaseMs: 10,
    stepPerRequestMs: 0,
    cacheTokens: 0,
  }));
}
