/** A generation job: a prompt and the number of tokens to produce. */
export interface EngineJob {
  readonly id: string;
  /** Start of the prompt; the key of the prefix cache. */
  readonly prefix: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Speed and limits of an engine. */
export interface EngineOptions {
  /** Prompt tokens processed a second, over all jobs of the batch. */
  readonly prefillTokensPerSecond: number;
  /** Time of one decoding step, in milliseconds. */
  readonly stepMs: number;
  /** Extra time of a step for each job in the batch, in milliseconds. */
  readonly stepMsPerJob: number;
  /** Maximum number of jobs in the batch; others wait in the queue. */
  readonly maxBatch: number;
  /** Maximum number of prompt prefixes in the cache. */
  readonly cachedPrefixes: number;
  /** Time after which a job without a reader is cancelled, in milliseconds. */
  readonly graceMs: number;
}

/** Counts since the engine started. */
export interface EngineCounts {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly prefillTokens: number;
  /** Prompt tokens processed for jobs that were cancelled later. */
  readonly wastedPrefillTokens: number;
  /** Prompt tokens skipped because their prefix was cached. */
  readonly cachedPrefillTokens: number;
  readonly decodedTokens: number;
}

/** Output of one job. */
export interface JobStream {
  /** Number of tokens produced so far. */
  readonly produced: number;
  readonly isFinished: boolean;
  /** Adds a listener, called after each token and at the end of the job. */
  onProgress(listener: () => void): void;
  offProgress(listener: () => void): void;
}

/** A stand-in for a model engine with continuous batching. */
export interface Engine {
  /** Queues a job; a job whose id exists already is not run again. */
  submit(job: EngineJob): JobStream;
  find(id: string): JobStream | undefined;
  cancel(id: string): void;
  /** Cancels a job without readers after `graceMs` if it still has none. */
  release(id: string): void;
  /** Multiplies the time of every step; 1 is full speed. */
  setSlowdown(factor: number): void;
  readCounts(): EngineCounts;
  readLoad(): {readonly running: number; readonly waiting: number};
  close(): void;
}

interface RunningJob {
  readonly job: EngineJob;
  readonly listeners: Set<() => void>;
  prefillLeft: number;
  /** Prompt tokens processed for this job, without cached ones. */
  prefillDone: number;
  produced: number;
  isFinished: boolean;
}

/** Fraction of the prompt that a cached prefix saves. */
const CACHED_PREFIX_SAVED_FRACTION = 0.5;
/** Time for which the output of a finished job is kept, in milliseconds. */
const FINISHED_JOB_LIFETIME_MS = 30_000;

/** Creates an engine that runs its decoding steps by real-time timers. */
export function createEngine(options: EngineOptions): Engine {
  const jobs = new Map<string, RunningJob>();
  const batch = new Set<RunningJob>();
  const queue: RunningJob[] = [];
  const cache = new Map<string, true>();
  const counts = {
    started: 0,
    finished: 0,
    cancelled: 0,
    prefillTokens: 0,
    wastedPrefillTokens: 0,
    cachedPrefillTokens: 0,
    decodedTokens: 0,
  };
  let slowdown = 1;
  let timer: NodeJS.Timeout | undefined;

  const notify = (running: RunningJob): void =>
    running.listeners.forEach(listener => listener());

  const admit = (): void => {
    while (batch.size < options.maxBatch) {
      const next = queue.shift();
      if (next === undefined) {
        return;
      }
      batch.add(next);
      const isCached = cache.delete(next.job.prefix);
      cache.set(next.job.prefix, true);
      if (cache.size > options.cachedPrefixes) {
        cache.delete(cache.keys().next().value!);
      }
      if (isCached) {
        const saved = Math.floor(
          next.job.promptTokens * CACHED_PREFIX_SAVED_FRACTION,
        );
        next.prefillLeft -= saved;
        counts.cachedPrefillTokens += saved;
      }
    }
  };

  const finish = (running: RunningJob): void => {
    running.isFinished = true;
    batch.delete(running);
    counts.finished += 1;
    setTimeout(
      () => jobs.delete(running.job.id),
      FINISHED_JOB_LIFETIME_MS,
    ).unref();
    notify(running);
  };

  const step = (): void => {
    timer = undefined;
    admit();
    let prefillBudget =
      (options.prefillTokensPerSecond * computeStepMs()) / 1_000;
    for (const running of [...batch]) {
      if (running.prefillLeft > 0) {
        const done = Math.min(running.prefillLeft, prefillBudget);
        prefillBudget -= done;
        running.prefillLeft -= done;
        running.prefillDone += done;
        counts.prefillTokens += done;
        continue;
      }
      running.produced += 1;
      counts.decodedTokens += 1;
      if (running.produced >= running.job.outputTokens) {
        finish(running);
      } else {
        notify(running);
      }
    }
    schedule();
  };
  const computeStepMs = (): number =>
    options.stepMs + options.stepMsPerJob * batch.size;
  const schedule = (): void => {
    if (timer === undefined && batch.size + queue.length > 0) {
      timer = setTimeout(step, computeStepMs() * slowdown);
    }
  };

  const createJobStream = (running: RunningJob): JobStream => ({
    get produced() {
      return running.produced;
    },
    get isFinished() {
      return running.isFinished;
    },
    onProgress: listener => running.listeners.add(listener),
    offProgress: listener => running.listeners.delete(listener),
  });

  const cancelJob = (id: string): void => {
    const running = jobs.get(id);
    if (running === undefined || running.isFinished) {
      return;
    }
    jobs.delete(id);
    batch.delete(running);
    const position = queue.indexOf(running);
    if (position >= 0) {
      queue.splice(position, 1);
    }
    counts.cancelled += 1;
    counts.wastedPrefillTokens += running.prefillDone;
  };

  return {
    submit: job => {
      const existing = jobs.get(job.id);
      if (existing !== undefined) {
        return createJobStream(existing);
      }
      counts.started += 1;
      const running: RunningJob = {
        job,
        listeners: new Set(),
        prefillLeft: job.promptTokens,
        prefillDone: 0,
        produced: 0,
        isFinished: false,
      };
      jobs.set(job.id, running);
      queue.push(running);
      schedule();
      return createJobStream(running);
    },
    find: id => {
      const running = jobs.get(id);
      return running === undefined ? undefined : createJobStream(running);
    },
    cancel: cancelJob,
    release: id => {
      const running = jobs.get(id);
      const isUnread = (): boolean => running?.listeners.size === 0;
      if (running === undefined || running.isFinished || !isUnread()) {
        return;
      }
      setTimeout(() => {
        if (isUnread()) {
          cancelJob(id);
        }
      }, options.graceMs).unref();
    },
    setSlowdown: factor => {
      slowdown = factor;
    },
    readCounts: () => ({...counts}),
    readLoad: () => ({running: batch.size, waiting: queue.length}),
    close: () => clearTimeout(timer),
  };
}
