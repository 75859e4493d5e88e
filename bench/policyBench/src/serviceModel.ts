import type {EngineSpec, KindSpec, Profile} from './profile.js';

/** Share of its rate that decoding keeps while a prompt is processed. */
export const DECODE_FRACTION_DURING_PREFILL = 0.5;
/** Share of its rate at which a prompt is processed in a mixed batch. */
export const PREFILL_FRACTION_IN_BATCH = 0.8;

/** What a request asks of an engine. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Length of a decode step. */
export function computeStepMs(spec: EngineSpec, running: number): number {
  return spec.stepBaseMs + spec.stepPerRequestMs * running;
}

/** Time an engine needs for a request while its batch is full. */
export function estimateServiceMs(spec: EngineSpec, size: WorkSize): number {
  const prefillMs =
    (1_000 * size.promptTokens) /
    (spec.prefillTokensPerSecond * PREFILL_FRACTION_IN_BATCH);
  return prefillMs + size.answerTokens * computeStepMs(spec, spec.batchSize);
}

/** Part of an engine's whole time that a request uses up in a full batch. */
export function estimateEngineMs(spec: EngineSpec, size: WorkSize): number {
  const prefillMs =
    (1_000 * size.promptTokens) /
    (spec.prefillTokensPerSecond * PREFILL_FRACTION_IN_BATCH);
  const decodeMs =
    (size.answerTokens * computeStepMs(spec, spec.batchSize)) / spec.batchSize;
  return prefillMs * (1 - DECODE_FRACTION_DURING_PREFILL) + decodeMs;
}

/** The engine of a set whose speed is in the middle. */
export function pickMedianEngine(profile: Profile, set: string): EngineSpec {
  const engines = profile.engines
    .filter(engine => engine.set === set)
    .sort((left, right) => left.stepBaseMs - right.stepBaseMs);
  return engines[Math.floor(engines.length / 2)]!;
}

/** Mean share of the set's whole time that a request of a kind uses up. */
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
