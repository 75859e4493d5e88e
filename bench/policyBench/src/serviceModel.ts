import type {EngineSpec, KindSpec, Profile} from './profile.js';

/** Fraction of the decode rate that is left while a prompt is processed. */
export const DECODE_FRACTION_DURING_PREFILL = 0.5;
/** Fraction of the prefill rate that is left while others are in the batch. */
export const PREFILL_FRACTION_IN_BATCH = 0.8;

/** The amount of work that a request is for an engine. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Computes the duration of a decode step, which gives each answer a token. */
export function computeStepMs(spec: EngineSpec, running: number): number {
  return spec.stepBaseMs + spec.stepPerRequestMs * running;
}

/** Estimates how long a request takes on an engine whose batch is full. */
export function estimateServiceMs(spec: EngineSpec, size: WorkSize): number {
  const prefillMs =
    (1_000 * size.promptTokens) /
    (spec.prefillTokensPerSecond * PREFILL_FRACTION_IN_BATCH);
  return prefillMs + size.answerTokens * computeStepMs(spec, spec.batchSize);
}

/**
 * Estimates how much of an engine's time a request costs when the batch is
 * full: its part of the shared decode steps, and the decoding time that its
 * prefill takes from the others.
 */
export function estimateEngineMs(spec: EngineSpec, size: WorkSize): number {
  const prefillMs =
    (1_000 * size.promptTokens) /
    (spec.prefillTokensPerSecond * PREFILL_FRACTION_IN_BATCH);
  const decodeMs =
    (size.answerTokens * computeStepMs(spec, spec.batchSize)) / spec.batchSize;
  return prefillMs * (1 - DECODE_FRACTION_DURING_PREFILL) + decodeMs;
}

/** Picks the engine of a set with the median speed. */
export function pickMedianEngine(profile: Profile, set: string): EngineSpec {
  const engines = profile.engines
    .filter(engine => engine.set === set)
    .sort((left, right) => left.stepBaseMs - right.stepBaseMs);
  return engines[Math.floor(engines.length / 2)]!;
}

/** Estimates how long a request occupies the whole endpoint set. */
export function estimateSetMs(
  profile: Profile,
  kind: KindSpec,
  size: WorkSize,
): number {
  const rate = profile.engines
    .filter(engine => engine.set === kind.set)
    .reduce((sum, engine) => sum + 1 / estimateEngineMs(engine, size), 0);
  return 1 / rate;
}
