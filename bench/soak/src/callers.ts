import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {planRequest} from './callerPlan.js';
import type {PlannedRequest} from './callerPlan.js';
import {createStream} from './draws.js';
import type {AnswerResult} from './recordedEvent.js';
import type {Recorder} from './recorder.js';
import {sendRequest} from './sendRequest.js';

/** The VM that a caller sends its requests to. */
export interface CalledVm {
  readonly vm: string;
  /** Base URL of the VM for callers. */
  readonly url: string;
}

/** Options of the callers of the VM at one place. */
export interface CallersOptions {
  readonly readCalledVm: () => CalledVm;
  readonly host: string;
  readonly key: string;
  readonly recorder: Recorder;
  /** Aborts when no caller sends any more requests. */
  readonly signal: AbortSignal;
}

/** Options of callers who send large bodies. */
export interface BodyCallersOptions extends CallersOptions {
  readonly name: string;
  readonly callers: number;
  readonly bytes: number;
  readonly isChunked: boolean;
  readonly forMs: number;
}

/** Streams of random numbers of the callers follow this one. */
const FIRST_STREAM = 10_000;
/** Pause after a request that was refused or got no answer. */
const RETRY_PAUSE_MS = 150;
const BODY_WORK_MS = 50;
const BODY_ANSWER_BYTES = 200;
const BODY_TIME_LEFT_MS = 4_000;

/**
 * Sends planned requests one after the other on a kept connection until the
 * signal aborts.
 */
export async function runCaller(
  options: CallersOptions & {readonly seed: number; readonly caller: number},
): Promise<void> {
  const random = createStream(options.seed, FIRST_STREAM + options.caller);
  const send = createSender(options, `c${options.caller}`);
  while (!options.signal.aborted) {
    await send(planRequest(random));
  }
}

/** Sends large bodies from several callers side by side for a time. */
export async function runBodyCallers(
  options: BodyCallersOptions,
): Promise<void> {
  const until = performance.now() + options.forMs;
  const planned: PlannedRequest = {
    kind: 'safe',
    bodyBytes: options.bytes,
    bodyForm: options.isChunked ? 'chunked' : 'sized',
    answerBytes: BODY_ANSWER_BYTES,
    workMs: BODY_WORK_MS,
    events: 0,
    cancelAfterMs: null,
    timeLeftMs: BODY_TIME_LEFT_MS,
    pauseMs: 0,
  };
  await Promise.all(
    Array.from({length: options.callers}, async (_, index) => {
      const send = createSender(options, `${options.name}.${index}`);
      while (performance.now() < until && !options.signal.aborted) {
        await send(planned);
      }
    }),
  );
}

/** Creates a caller with one connection, which it keeps. */
function createSender(
  options: CallersOptions,
  name: string,
): (planned: PlannedRequest) => Promise<void> {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  let count = 0;
  return async planned => {
    count += 1;
    const attempt = `${name}-${count}`;
    const called = options.readCalledVm();
    const result = await sendRequest(
      {...options, ...called, agent, attempt},
      planned,
    );
    await delay(isAnswered(result) ? planned.pauseMs : RETRY_PAUSE_MS);
  };
}

function isAnswered(result: AnswerResult): boolean {
  return result.kind === 'whole' && result.status < 300;
}
