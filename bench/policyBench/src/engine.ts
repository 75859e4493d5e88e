import type {Arrival} from './arrivals.js';
import {createPrefixCache} from './prefixCache.js';
import type {EngineSpec} from './profile.js';
import {
  computeStepMs,
  DECODE_FRACTION_DURING_PREFILL,
  PREFILL_FRACTION_IN_BATCH,
} from './serviceModel.js';
import type {Timeline} from './timeline.js';

/** Receives the events of the requests that an engine works on. */
export interface EngineListener {
  /** Called when the prompt is processed and the first token is sent. */
  startAnswer(arrival: Arrival): void;
  /** Called at regular intervals with the number of tokens sent so far. */
  reportProgress(arrival: Arrival, tokens: number): void;
  /** Called when the answer is complete. */
  endAnswer(arrival: Arrival): void;
  /** Called when the engine has stopped and will not answer the request. */
  failAnswer(arrival: Arrival): void;
}

/**
 * A simulated model engine with continuous batching: requests join and leave a
 * running batch. It has no priorities; requests that find the batch full wait
 * in a queue, first in, first out.
 */
export interface Engine {
  readonly spec: EngineSpec;
  start(arrival: Arrival): void;
  cancel(arrival: Arrival): void;
  /** Multiplies the time that all work takes; 1 is the normal speed. */
  setSlowdownFactor(factor: number): void;
  /** Stops the engine permanently and fails the requests in it. */
  stop(): void;
  readLoad(): EngineLoad;
  isStopped(): boolean;
}

/** How many requests an engine holds in its batch and in its queue. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Parameters of an engine. */
export interface EngineOptions {
  readonly spec: EngineSpec;
  readonly timeline: Timeline;
  readonly listener: EngineListener;
  /** Counts prompt tokens as they are processed. */
  readonly countPrefill: (arrival: Arrival, tokens: number) => void;
}

/** A request in the batch. */
interface Job {
  readonly arrival: Arrival;
  /** Prompt tokens that are still to be processed. */
  prefillLeft: number;
  /** Answer tokens that are still to be sent. */
  answerLeft: number;
}

const PROGRESS_INTERVAL_MS = 500;
/** A phase with less work left is complete; absorbs rounding errors. */
const COMPLETION_TOLERANCE_TOKENS = 1e-6;

/** Creates an engine with an empty batch. */
export function createEngine(options: EngineOptions): Engine {
  const {spec, timeline, listener} = options;
  const batch = new Map<string, Job>();
  const queue = new Map<string, Arrival>();
  const cache = createPrefixCache(spec.cacheTokens);
  let slowdown = 1;
  let updatedAt = 0;
  let updateGeneration = 0;
  let stopped = false;

  // The engine processes one prompt at a time.
  const findPrefilling = (): Job | undefined =>
    [...batch.values()].find(job => job.prefillLeft > 0);

  const computeRates = () => {
    const prefilling = findPrefilling();
    const decodeFraction =
      prefilling === undefined ? 1 : DECODE_FRACTION_DURING_PREFILL;
    const prefillFraction = batch.size === 1 ? 1 : PREFILL_FRACTION_IN_BATCH;
    return {
      prefilling,
      prefillPerMs:
        (spec.prefillTokensPerSecond * prefillFraction) / 1_000 / slowdown,
      decodePerMs: decodeFraction / computeStepMs(spec, batch.size) / slowdown,
    };
  };

  // Applies the work done since the last update.
  const advance = (): void => {
    const now = timeline.clock.readMonotonic();
    const elapsedMs = now - updatedAt;
    updatedAt = now;
    const {prefilling, prefillPerMs, decodePerMs} = computeRates();
    for (const job of batch.values()) {
      if (job === prefilling) {
        const processed = Math.min(job.prefillLeft, elapsedMs * prefillPerMs);
        job.prefillLeft -= processed;
        options.countPrefill(job.arrival, processed);
      } else if (job.prefillLeft === 0) {
        job.answerLeft -= elapsedMs * decodePerMs;
      }
    }
  };

  // Starts the answers of processed prompts and removes completed answers.
  const completePhases = (): void => {
    for (const job of batch.values()) {
      if (
        job.prefillLeft > 0 &&
        job.prefillLeft < COMPLETION_TOLERANCE_TOKENS
      ) {
        job.prefillLeft = 0;
        listener.startAnswer(job.arrival);
      } else if (
        job.prefillLeft === 0 &&
        job.answerLeft <= COMPLETION_TOLERANCE_TOKENS
      ) {
        batch.delete(job.arrival.id);
        listener.endAnswer(job.arrival);
      }
    }
  };

  const fillBatch = (): void => {
    for (const arrival of queue.values()) {
      if (batch.size >= spec.batchSize) {
        return;
      }
      queue.delete(arrival.id);
      batch.set(arrival.id, createJob(arrival));
    }
  };

  const createJob = (arrival: Arrival): Job => {
    const cachedTokens =
      arrival.prefix === null
        ? 0
        : cache.use(arrival.prefix, arrival.prefixTokens);
    return {
      arrival,
      prefillLeft: Math.max(1, arrival.promptTokens - cachedTokens),
      answerLeft: arrival.answerTokens,
    };
  };

  // Schedules an update for when the first phase completes. An earlier update
  // starts a new generation, which makes the scheduled one do nothing.
  const scheduleNextUpdate = (): void => {
    updateGeneration += 1;
    const scheduledGeneration = updateGeneration;
    const {prefilling, prefillPerMs, decodePerMs} = computeRates();
    let delayMs = Number.POSITIVE_INFINITY;
    for (const job of batch.values()) {
      if (job === prefilling) {
        delayMs = Math.min(delayMs, job.prefillLeft / prefillPerMs);
      } else if (job.prefillLeft === 0) {
        delayMs = Math.min(delayMs, job.answerLeft / decodePerMs);
      }
    }
    if (delayMs < Number.POSITIVE_INFINITY) {
      timeline.schedule(Math.max(0, delayMs), () => {
        if (scheduledGeneration === updateGeneration && !stopped) {
          update(() => undefined);
        }
      });
    }
  };

  const update = (change: () => void): void => {
    advance();
    completePhases();
    change();
    fillBatch();
    scheduleNextUpdate();
  };

  const reportAllProgress = (): void => {
    if (stopped) {
      return;
    }
    update(() => undefined);
    for (const job of batch.values()) {
      if (job.prefillLeft === 0) {
        const sent = Math.floor(job.arrival.answerTokens - job.answerLeft);
        listener.reportProgress(job.arrival, sent);
      }
    }
    timeline.schedule(PROGRESS_INTERVAL_MS, reportAllProgress);
  };
  timeline.schedule(PROGRESS_INTERVAL_MS, reportAllProgress);

  return {
    spec,
    start: arrival => {
      if (stopped) {
        listener.failAnswer(arrival);
        return;
      }
      update(() => queue.set(arrival.id, arrival));
    },
    cancel: arrival =>
      update(() => {
        queue.delete(arrival.id);
        batch.delete(arrival.id);
      }),
    setSlowdownFactor: newFactor => {
      update(() => {
        slowdown = newFactor;
      });
    },
    stop: () => {
      advance();
      stopped = true;
      const running = [...batch.values()].map(job => job.arrival);
      for (const arrival of [...running, ...queue.values()]) {
        listener.failAnswer(arrival);
      }
      batch.clear();
      queue.clear();
    },
    readLoad: () => ({running: batch.size, waiting: queue.size}),
    isStopped: () => stopped,
  };
}
