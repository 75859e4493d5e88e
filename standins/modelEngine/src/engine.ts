/** A job the engine has admitted. */
export interface EngineJob {
  readonly id: string;
  readonly prefix: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What an engine can do. */
export interface EngineOptions {
  /** Prompt tokens processed a second when alone. */
  readonly prefillTokensPerSecond: number;
  /** Time of one decoding step, in milliseconds. */
  readonly stepMs: number;
  /** Extra time of a step for each job in the batch, in milliseconds. */
  readonly stepMsPerJob: number;
  /** Most jobs in the batch; others queue in the engine. */
  readonly maxBatch: number;
  /** Prompt prefixes kept. */
  readonly cachedPrefixes: number;
  /** How long a job without a reader goes on, in milliseconds. */
  readonly graceMs: number;
}

/** What the engine has done so far. */
export interface EngineCounts {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
  readonly cachedPrefillTokens: number;
  readonly decodedTokens: number;
}

/** A stream of one job's output. */
export interface JobStream {
  /** Number of tokens produced so far. */
  readonly produced: number;
  readonly isFinished: boolean;
  /** Calls back whenever tokens were produced or the job ended. */
  onProgress(listener: () => void): void;
  offProgress(listener: () => void): void;
}

/** A stand-in for a model engine that batches continuously. */
export interface Engine {
  submit(job: EngineJob): JobStream;
  find(id: string): JobStream | undefined;
  cancel(id: string): void;
  /** Cancels a job after a grace time unless a reader attaches before. */
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
  /** Prompt tokens processed for this job; cached ones are not. */
  prefillDone: number;
  produced: number;
  isFinished: boolean;
}

/** Share of the prompt that a cached prefix saves. */
const CACHED_SHARE = 0.5;
/** Time for which a finished job can still be resumed, in milliseconds. */
const RESUME_WINDOW_MS = 30_000;

/** Creates an engine whose steps follow the machine's timers. */
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
        const saved = Math.floor(next.job.promptTokens * CACHED_SHARE);
        next.prefillLeft -= saved;
        counts.cachedPrefillTokens += saved;
      }
    }
  };

  const finish = (running: RunningJob): void => {
    running.isFinished = true;
    batch.delete(running);
    counts.finished += 1;
    setTimeout(() => jobs.delete(running.job.id), RESUME_WINDOW_MS).unref();
    notify(running);
  };

  const step = (): void => {
    timer = undefined;
    admit();
    let prefillBudget = (options.prefillTokensPerSecond * readStepMs()) / 1_000;
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
  const readStepMs = (): number =>
    options.stepMs + options.stepMsPerJob * batch.size;
  const schedule = (): void => {
    if (timer === undefined && batch.size + queue.length > 0) {
      timer = setTimeout(step, readStepMs() * slowdown);
    }
  };

  const toStream = (running: RunningJob): JobStream => ({
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
      const known = jobs.get(job.id);
      if (known !== undefined) {
        return toStream(known);
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
      return toStream(running);
    },
    find: id => {
      const running = jobs.get(id);
      return running === undefined ? undefined : toStream(running);
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
