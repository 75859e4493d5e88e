import type {Arrival} from './arrivals.js';
import {createPrefixCache} from './prefixCache.js';
import type {EngineSpec} from './profile.js';
import {
  DECODE_SHARE_IN_PREFILL,
  PREFILL_SHARE_IN_BATCH,
  readStepMs,
} from './serviceModel.js';
import type {Timeline} from './timeline.js';

/** What an engine tells of the requests it works on. */
export interface EngineListener {
  startAnswer(arrival: Arrival): void;
  /** Reports tokens sent so far, about once a second. */
  reportProgress(arrival: Arrival, tokens: number): void;
  endAnswer(arrival: Arrival): void;
  /** The engine is gone with the request in it. */
  cutAnswer(arrival: Arrival): void;
}

/** A model engine that batches continuously and knows no priorities. */
export interface Engine {
  readonly spec: EngineSpec;
  start(arrival: Arrival): void;
  cancel(arrival: Arrival): void;
  /** Makes everything take longer by a factor. */
  slowDown(factor: number): void;
  /** Ends the engine with all that runs in it. */
  stop(): void;
  readLoad(): EngineLoad;
  isStopped(): boolean;
}

/** An engine's load at this instant. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
}

/** What an engine is made of. */
export interface EngineOptions {
  readonly spec: EngineSpec;
  readonly timeline: Timeline;
  readonly listener: EngineListener;
  /** Counts prompt tokens as they are processed. */
  readonly countPrefill: (arrival: Arrival, tokens: number) => void;
}

interface Job {
  readonly arrival: Arrival;
  prefillLeft: number;
  answerLeft: number;
}

const PROGRESS_INTERVAL_MS = 500;
const COMPLETE_TOLERANCE = 1e-6;

/** Creates an engine with an empty batch. */
export function createEngine(options: EngineOptions): Engine {
  const {spec, timeline, listener} = options;
  const batch = new Map<string, Job>();
  const queue = new Map<string, Arrival>();
  const cache = createPrefixCache(spec.cacheTokens);
  let factor = 1;
  let updatedAt = 0;
  let generation = 0;
  let stopped = false;

  const findPrefilling = (): Job | undefined =>
    [...batch.values()].find(job => job.prefillLeft > 0);

  const readRates = () => {
    const prefilling = findPrefilling();
    const decodeShare = prefilling === undefined ? 1 : DECODE_SHARE_IN_PREFILL;
    const alone = batch.size === 1 ? 1 : PREFILL_SHARE_IN_BATCH;
    return {
      prefilling,
      prefillPerMs: (spec.prefillTokensPerSecond * alone) / 1_000 / factor,
      decodePerMs: decodeShare / readStepMs(spec, batch.size) / factor,
    };
  };

  const advance = (): void => {
    const now = timeline.clock.readMonotonic();
    const elapsed = now - updatedAt;
    updatedAt = now;
    const {prefilling, prefillPerMs, decodePerMs} = readRates();
    for (const job of batch.values()) {
      if (job === prefilling) {
        const done = Math.min(job.prefillLeft, elapsed * prefillPerMs);
        job.prefillLeft -= done;
        options.countPrefill(job.arrival, done);
      } else if (job.prefillLeft === 0) {
        job.answerLeft -= elapsed * decodePerMs;
      }
    }
  };

  const settle = (): void => {
    for (const job of batch.values()) {
      if (job.prefillLeft > 0 && job.prefillLeft < COMPLETE_TOLERANCE) {
        job.prefillLeft = 0;
        listener.startAnswer(job.arrival);
      } else if (
        job.prefillLeft === 0 &&
        job.answerLeft <= COMPLETE_TOLERANCE
      ) {
        batch.delete(job.arrival.id);
        listener.endAnswer(job.arrival);
      }
    }
  };

  const fill = (): void => {
    for (const arrival of queue.values()) {
      if (batch.size >= spec.batch) {
        return;
      }
      queue.delete(arrival.id);
      batch.set(arrival.id, createJob(arrival));
    }
  };

  const createJob = (arrival: Arrival): Job => {
    const saved =
      arrival.prefix === null
        ? 0
        : cache.use(arrival.prefix, arrival.prefixTokens);
    return {
      arrival,
      prefillLeft: Math.max(1, arrival.promptTokens - saved),
      answerLeft: arrival.answerTokens,
    };
  };

  const planNext = (): void => {
    generation += 1;
    const planned = generation;
    const {prefilling, prefillPerMs, decodePerMs} = readRates();
    let delay = Number.POSITIVE_INFINITY;
    for (const job of batch.values()) {
      if (job === prefilling) {
        delay = Math.min(delay, job.prefillLeft / prefillPerMs);
      } else if (job.prefillLeft === 0) {
        delay = Math.min(delay, job.answerLeft / decodePerMs);
      }
    }
    if (delay < Number.POSITIVE_INFINITY) {
      timeline.schedule(Math.max(0, delay), () => {
        if (planned === generation && !stopped) {
          update(() => undefined);
        }
      });
    }
  };

  const update = (change: () => void): void => {
    advance();
    settle();
    change();
    fill();
    planNext();
  };

  const tellProgress = (): void => {
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
    timeline.schedule(PROGRESS_INTERVAL_MS, tellProgress);
  };
  timeline.schedule(PROGRESS_INTERVAL_MS, tellProgress);

  return {
    spec,
    start: arrival => {
      if (stopped) {
        listener.cutAnswer(arrival);
        return;
      }
      update(() => queue.set(arrival.id, arrival));
    },
    cancel: arrival =>
      update(() => {
        queue.delete(arrival.id);
        batch.delete(arrival.id);
      }),
    slowDown: next => {
      update(() => {
        factor = next;
      });
    },
    stop: () => {
      advance();
      stopped = true;
      const lost = [...batch.values()].map(job => job.arrival);
      for (const arrival of [...lost, ...queue.values()]) {
        listener.cutAnswer(arrival);
      }
      batch.clear();
      queue.clear();
    },
    readLoad: () => ({running: batch.size, waiting: queue.size}),
    isStopped: () => stopped,
  };
}
