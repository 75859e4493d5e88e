import type {LengthRange} from './random.js';

/** What a fake engine can do. */
export interface EngineSpec {
  readonly id: string;
  readonly set: string;
  /** Requests worked on at once. */
  readonly batchSize: number;
  /** Prompt tokens a second while nothing else runs. */
  readonly prefillTokensPerSecond: number;
  /** Length of a decode step with an empty batch, in milliseconds. */
  readonly stepBaseMs: number;
  /** Growth of a decode step with each running request. */
  readonly stepPerRequestMs: number;
  /** Prompt tokens the prefix cache holds. */
  readonly cacheTokens: number;
}

/** How long the callers of a kind wait. */
export interface Patience {
  /** Share of callers who leave early whatever happens. */
  readonly earlyFraction: number;
  readonly earlyMedianMs: number;
  readonly medianMs: number;
  readonly sigma: number;
}

/** A kind of request and how it is used. */
export interface KindSpec {
  readonly id: string;
  readonly set: string;
  /** Weight of an answered request in goodput. */
  readonly goodputWeight: number;
  /** Share of the arrivals. */
  readonly weight: number;
  readonly prompt: LengthRange;
  readonly answer: LengthRange;
  readonly patience: Patience;
  /** Shares of the tiers, by tier. */
  readonly tiers: readonly TierFrequency[];
  /** Prompt prefixes in use by each organisation. */
  readonly prefixCount: number;
}

/** How often a kind is asked for in a tier. */
export interface TierFrequency {
  readonly rank: number;
  readonly weight: number;
}

/** An organisation and how much it asks for. */
export interface OrganisationSpec {
  readonly id: string;
  /** Share of the arrivals. */
  readonly weight: number;
}

/** A deployment as the bench imitates it. */
export interface Profile {
  readonly id: string;
  readonly engines: readonly EngineSpec[];
  readonly kinds: readonly KindSpec[];
  readonly organisations: readonly OrganisationSpec[];
  readonly tierCount: number;
  readonly entries: readonly string[];
  /** One-way delay between entries. */
  readonly linkDelayMs: number;
  readonly burst: BurstSpec;
}

/** How the arrival rate swells. */
export interface BurstSpec {
  readonly periodMs: number;
  readonly durationMs: number;
  readonly factor: number;
}

/** The tiers of both profiles, highest first. */
export const TIER_IDS = ['gold', 'silver', 'bronze'] as const;

/** Creates model engines of unlike speed. */
export function createModelEngines(
  set: string,
  speeds: readonly number[],
): readonly EngineSpec[] {
  return speeds.map((speed, index) => ({
    id: `${set}${index + 1}`,
    set,
    batch: speed >= 1 ? 16 : 8,
    prefillTokensPerSecond: 6_000 * speed,
    stepBaseMs: 16 / speed,
    stepPerRequestMs: 0.9 / speed,
    cacheTokens: 60_000,
  }));
}

/** Creates workers of a plain service; their prompts cost next to nothing. */
export function createServiceEngines(
  set: string,
  count: number,
): readonly EngineSpec[] {
  return Array.from({length: count}, (_, index) => ({
    id: `${set}${index + 1}`,
    set,
    batch: 4,
    prefillTokensPerSecond: 100_000,
    stepBaseMs: 10,
    stepPerRequestMs: 0,
    cacheTokens: 0,
  }));
}
