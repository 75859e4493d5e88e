import {Agent, request as httpRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {assertNever} from '@gentianshunt/errors';
import {
  ANSWER_BYTES_HEADER,
  buildCallerHeaders,
  WORK_HEADER,
} from '@gentianshunt/platformWorker';
import type {Random} from '@gentianshunt/policyBench';

import type {CalledVm, CallersOptions} from './callers.js';
import {EXTRA_KEYS, EXTRA_ROUTES} from './configurationContent.js';
import type {ProbeTarget} from './configurationContent.js';
import {
  formatExtraKey,
  formatExtraRoute,
  MOVING_ROUTE,
  REFUSED_ROUTE,
} from './configurationDocument.js';
import {createStream, drawIndex} from './draws.js';

/** Options of the probe calls to the VM at one place. */
export interface ProberOptions extends CallersOptions {
  readonly seed: number;
  /** Number of the prober, which sets the random numbers. */
  readonly index: number;
}

/** Streams of random numbers of the probers follow this one. */
const FIRST_STREAM = 50_000;
const PAUSE_MS = 20;
/** Pause after a call without an answer. */
const RETRY_PAUSE_MS = 100;
const TIME_LEFT_MS = 1_500;
/** Time after the time limit at which the caller leaves. */
const PATIENCE_MS = 300;
const ANSWER_BYTES = 64;
const WORK_MS = 5;

const TARGET_KINDS: readonly {
  readonly kind: ProbeTarget['kind'];
  readonly weight: number;
}[] = [
  {kind: 'movingRoute', weight: 40},
  {kind: 'extraRoute', weight: 32},
  {kind: 'extraKey', weight: 18},
  {kind: 'fixedRoute', weight: 6},
  {kind: 'refusedRoute', weight: 4},
];

/** Sends probe calls, one after the other, until the signal aborts. */
export async function runProber(options: ProberOptions): Promise<void> {
  const {recorder, signal, index} = options;
  const random = createStream(options.seed, FIRST_STREAM + index);
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let count = 0; !signal.aborted; count += 1) {
    const attempt = `p${index}-${count}`;
    const target = drawTarget(random);
    const called = options.readCalledVm();
    recorder.record({kind: 'probeSent', attempt, vm: called.vm, target});
    const status = await callOnce(
      {...options, ...called},
      agent,
      attempt,
      target,
    );
    recorder.record({kind: 'probeEnded', attempt, status});
    await delay(status === 0 ? RETRY_PAUSE_MS : PAUSE_MS);
  }
  agent.destroy();
}

function drawTarget(random: Random): ProbeTarget {
  const {kind} = random.drawWeighted(TARGET_KINDS);
  switch (kind) {
    case 'extraRoute':
      return {kind, index: drawIndex(random, EXTRA_ROUTES)};
    case 'extraKey':
      return {kind, index: drawIndex(random, EXTRA_KEYS)};
    case 'fixedRoute':
    case 'movingRoute':
    case 'refusedRoute':
      return {kind};
    default:
      return assertNever(kind, 'drawTarget');
  }
}

/** Makes one call; returns the status, or 0 without a whole answer. */
function callOnce(
  {url, host, key}: ProberOptions & CalledVm,
  agent: Agent,
  attempt: string,
  target: ProbeTarget,
): Promise<number> {
  return new Promise(resolve => {
    const caller = {
      attempt,
      host,
      key: target.kind === 'extraKey' ? formatExtraKey(target.index) : key,
      timeLeftMs: TIME_LEFT_MS,
    };
    const call = httpRequest(
      `${url}/${formatRoute(target)}/probe`,
      {
        method: 'POST',
        agent,
        headers: {
          ...buildCallerHeaders(caller),
          [WORK_HEADER]: String(WORK_MS),
          [ANSWER_BYTES_HEADER]: String(ANSWER_BYTES),
          'content-length': '0',
        },
      },
      response => {
        response.on('error', () => end(0));
        response.on('end', () => end(response.statusCode ?? 0));
        response.resume();
      },
    );
    const timer = setTimeout(() => {
      end(0);
      call.destroy();
    }, TIME_LEFT_MS + PATIENCE_MS);
    const end = (status: number): void => {
      clearTimeout(timer);
      resolve(status);
    };
    call.on('error', () => end(0));
    call.end();
  });
}

function formatRoute(target: ProbeTarget): string {
  switch (target.kind) {
    case 'fixedRoute':
    case 'extraKey':
      return 'safe';
    case 'movingRoute':
      return MOVING_ROUTE;
    case 'extraRoute':
      return formatExtraRoute(target.index);
    case 'refusedRoute':
      return REFUSED_ROUTE;
    default:
      return assertNever(target, 'formatRoute');
  }
}
