import type {Milliseconds} from '@gentianshunt/clock';

import type {FakeProcess} from './fakeProcess.js';
import type {Network} from './network.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

/** Time between two tokens at full speed. */
const TOKEN_MS: Milliseconds = 20;
/** Time after which a job without a reader is dropped. */
const GRACE_MS: Milliseconds = 2_000;

/** A request that is dispatched to an endpoint. */
export interface Job {
  readonly dispatch: string;
  readonly request: string;
  readonly key: string | null;
  readonly tokens: readonly string[];
}

/** The entry's end of a stream. */
export interface Reader {
  readonly process: FakeProcess;
  readonly onToken: (token: string, isLast: boolean) => void;
  readonly onBroken: () => void;
}

/** A simulated model engine or plain service that records what it runs. */
export interface FakeEndpoint {
  readonly process: FakeProcess;
  open(job: Job, reader: Reader): void;
  /** Sends a job's tokens from an event on; returns whether the job exists. */
  resume(dispatch: string, fromEvent: number, reader: Reader): boolean;
  cancel(dispatch: string): void;
  breakStreams(): void;
  setSlowdown(factor: number): void;
  kill(): void;
}

/** Options of a simulated endpoint. */
export interface FakeEndpointOptions {
  readonly process: FakeProcess;
  readonly network: Network;
  readonly record: (event: TraceEvent) => void;
  readonly readTime: () => number;
  readonly onStep: StepListener;
}

interface RunningJob {
  readonly job: Job;
  produced: number;
  reader: Reader | undefined;
}

/** Creates an endpoint without jobs. */
export function createFakeEndpoint(options: FakeEndpointOptions): FakeEndpoint {
  const {process, network, record, readTime} = options;
  const jobs = new Map<string, RunningJob>();
  let slowdown = 1;
  const sendToken = (running: RunningJob, index: number): void => {
    const {reader, job} = running;
    if (reader === undefined) {
      return;
    }
    const isLast = index === job.tokens.length - 1;
    network.send({
      kind: 'stream',
      from: process,
      to: reader.process,
      deliver: () => reader.onToken(job.tokens[index]!, isLast),
      onBroken: () => detach(running),
    });
  };
  const detach = (running: RunningJob): void => {
    const {reader} = running;
    running.reader = undefined;
    reader?.process.schedule(1, reader.onBroken);
    process.schedule(GRACE_MS, () => {
      if (running.reader === undefined) {
        jobs.delete(running.job.dispatch);
      }
    });
  };
  const produce = (running: RunningJob): void => {
    const {job} = running;
    if (jobs.get(job.dispatch) !== running) {
      return;
    }
    notifyTokenStep(options, job, running.produced);
    if (!process.isAlive) {
      return;
    }
    running.produced += 1;
    sendToken(running, running.produced - 1);
    if (running.produced < job.tokens.length) {
      process.schedule(TOKEN_MS * slowdown, () => produce(running));
    }
  };
  return {
    process,
    open: (job, reader) => {
      const {request, key} = job;
      const endpoint = process.id;
      record({at: readTime(), kind: 'ran', endpoint, request, key});
      const running: RunningJob = {job, produced: 0, reader};
      jobs.set(job.dispatch, running);
      process.schedule(TOKEN_MS * slowdown, () => produce(running));
    },
    resume: (dispatch, fromEvent, reader) => {
      const running = jobs.get(dispatch);
      if (running === undefined) {
        return false;
      }
      running.reader = reader;
      for (let index = fromEvent; index < running.produced; index += 1) {
        sendToken(running, index);
      }
      return true;
    },
    cancel: dispatch => jobs.delete(dispatch),
    breakStreams: () => [...jobs.values()].forEach(detach),
    setSlowdown: factor => {
      slowdown = factor;
    },
    kill: () => {
      const readers = [...jobs.values()].map(running => running.reader);
      jobs.clear();
      process.kill();
      readers.forEach(reader => reader?.process.schedule(1, reader.onBroken));
    },
  };
}

function notifyTokenStep(
  {process, onStep}: FakeEndpointOptions,
  job: Job,
  index: number,
): void {
  const context = {endpoint: process, request: job.request};
  if (index === 0) {
    onStep('firstToken', context);
  } else if (index === job.tokens.length - 1) {
    onStep('lastToken', context);
  } else if (index === Math.floor(job.tokens.length / 2)) {
    onStep('middle', context);
  }
}
