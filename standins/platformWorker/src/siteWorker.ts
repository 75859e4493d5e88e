import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {ATTEMPT_HEADER, SEAL_HEADER} from './siteCalls.js';
import {
  ANSWER_BYTES_HEADER,
  BODY_DIGEST_HEADER,
  createContent,
  digestContent,
  EVENTS_HEADER,
  formatEvent,
  formatSeal,
  SITE_EVENT_INTERVAL_MS,
  WORK_HEADER,
} from './siteContent.js';

/** What happened to a request at a worker. */
export type SiteWorkerEvent =
  /** The head of the request arrived. */
  | {readonly kind: 'arrived'; readonly attempt: string}
  | {
      readonly kind: 'turnedAway';
      readonly attempt: string;
      readonly status: number;
    }
  | {
      readonly kind: 'runStarted';
      readonly attempt: string;
      /** Whether the body is the one that the caller sent. */
      readonly isIntact: boolean;
      readonly plannedMs: number;
    }
  | {
      readonly kind: 'runEnded';
      readonly attempt: string;
      readonly end: RunEnd;
    }
  /** An answer said that the worker is leaving. */
  | {readonly kind: 'leavingSaid'; readonly attempt: string};

/** How a run ended: whole, by the other side's close, or by a crash. */
export type RunEnd = 'answered' | 'disconnected' | 'brokenOff';

/** Options of a worker that reports what it receives. */
export interface SiteWorkerOptions {
  readonly host: string;
  readonly id: string;
  readonly slots: number;
  /** Requests a second that the worker names as its limit, or `null`. */
  readonly namedLimit: number | null;
  readonly onEvent: (event: SiteWorkerEvent) => void;
}

/** A running worker; heartbeats are sent by its owner. */
export interface SiteWorker {
  /** IP:PORT. */
  readonly address: string;
  /** Says in all later answers that the worker is leaving. */
  setLeaving(): void;
  /** Turns requests away for a while, with 503 and a retry time. */
  setUnavailable(forMs: number): void;
  /** Breaks off all runs and closes. */
  close(): Promise<void>;
}

interface Job {
  readonly attempt: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly isIntact: boolean;
}

interface WorkerState {
  readonly options: SiteWorkerOptions;
  readonly waiting: Job[];
  readonly running: Set<Job>;
  isLeaving: boolean;
  isClosed: boolean;
  unavailableUntilMs: number;
}

/** Requests that wait for a slot; further ones are turned away. */
const MAX_WAITING = 4;
const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_MS = 10_000;

/** Starts a worker. */
export async function startSiteWorker(
  options: SiteWorkerOptions,
): Promise<SiteWorker> {
  const state: WorkerState = {
    options,
    waiting: [],
    running: new Set(),
    isLeaving: false,
    isClosed: false,
    unavailableUntilMs: 0,
  };
  const server = createServer((request, response) => {
    request.on('error', () => undefined);
    void handleRequest(state, request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  await new Promise<void>(resolve => server.listen(0, options.host, resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    setLeaving: () => {
      state.isLeaving = true;
    },
    setUnavailable: forMs => {
      state.unavailableUntilMs = performance.now() + forMs;
    },
    close: async () => {
      state.isClosed = true;
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

async function handleRequest(
  state: WorkerState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {id, onEvent} = state.options;
  const attempt = readHeader(request, ATTEMPT_HEADER);
  if (readHeader(request, 'x-gentianshunt-expect-instance') !== id) {
    refuseJob(state, {attempt, response}, 421);
    return;
  }
  onEvent({kind: 'arrived', attempt});
  const body = await readBody(request);
  if (body === undefined) {
    return;
  }
  const digest = readHeader(request, BODY_DIGEST_HEADER);
  const isIntact = digest === '' || digest === digestContent(body);
  const job = {attempt, request, response, isIntact};
  if (performance.now() < state.unavailableUntilMs) {
    refuseJob(state, job, 503);
  } else if (state.running.size < state.options.slots) {
    startRun(state, job);
  } else if (state.waiting.length < MAX_WAITING) {
    state.waiting.push(job);
  } else {
    refuseJob(state, job, 503);
  }
}

function refuseJob(
  state: WorkerState,
  {attempt, response}: Pick<Job, 'attempt' | 'response'>,
  status: number,
): void {
  const pauseMs = state.unavailableUntilMs - performance.now();
  state.options.onEvent({kind: 'turnedAway', attempt, status});
  if (pauseMs > 0) {
    response.setHeader('retry-after', Math.ceil(pauseMs / MS_PER_SECOND));
  }
  response.writeHead(status, {
    [ATTEMPT_HEADER]: attempt,
    'x-gentianshunt-instance-id': state.options.id,
    'x-gentianshunt-not-executed': '1',
    'content-length': 0,
    ...listOwnHeaders(state),
  });
  response.end();
}

function startRun(state: WorkerState, job: Job): void {
  const {options, running} = state;
  const {attempt, request, response, isIntact} = job;
  running.add(job);
  const events = readNumber(request, EVENTS_HEADER);
  const workMs = readNumber(request, WORK_HEADER);
  const firstEvent = Number(readHeader(request, 'last-event-id')) + 1;
  const streamMs = Math.max(0, events - firstEvent) * SITE_EVENT_INTERVAL_MS;
  const plannedMs = workMs + streamMs;
  options.onEvent({kind: 'runStarted', attempt, isIntact, plannedMs});
  let timer: NodeJS.Timeout | undefined = undefined;
  const step = (event: number): void => {
    if (events === 0) {
      answerPlain(state, job);
    } else if (event <= events) {
      answerEvent(state, job, event, firstEvent);
      timer = setTimeout(() => step(event + 1), SITE_EVENT_INTERVAL_MS);
    } else {
      response.end();
    }
  };
  timer = setTimeout(() => step(firstEvent), workMs);
  response.once('close', () => {
    clearTimeout(timer);
    const broken = state.isClosed ? 'brokenOff' : 'disconnected';
    const end = response.writableFinished ? 'answered' : broken;
    options.onEvent({kind: 'runEnded', attempt, end});
    running.delete(job);
    startNext(state);
  });
}

function startNext(state: WorkerState): void {
  const next = state.waiting.shift();
  if (next === undefined) {
    return;
  }
  if (next.response.destroyed || state.isClosed) {
    startNext(state);
  } else {
    startRun(state, next);
  }
}

function answerPlain(state: WorkerState, job: Job): void {
  const {attempt, request, response} = job;
  const {id} = state.options;
  const bytes = readNumber(request, ANSWER_BYTES_HEADER);
  const body = createContent(`${attempt}/${id}`, bytes);
  writeAnswerHead(state, job, bytes, {'content-length': body.length});
  response.end(body);
}

function answerEvent(
  state: WorkerState,
  job: Job,
  event: number,
  firstEvent: number,
): void {
  const events = readNumber(job.request, EVENTS_HEADER);
  if (event === firstEvent) {
    const headers = {'content-type': 'text/event-stream'};
    writeAnswerHead(state, job, events, headers);
  }
  job.response.write(formatEvent(job.attempt, event, events));
}

function writeAnswerHead(
  state: WorkerState,
  {attempt, response}: Job,
  size: number,
  headers: Readonly<Record<string, string | number>>,
): void {
  if (state.isLeaving) {
    state.options.onEvent({kind: 'leavingSaid', attempt});
  }
  response.writeHead(200, {
    [ATTEMPT_HEADER]: attempt,
    [SEAL_HEADER]: formatSeal(attempt, state.options.id, size),
    ...headers,
    ...listOwnHeaders(state),
  });
}

function listOwnHeaders({
  isLeaving,
  options: {namedLimit},
}: WorkerState): Record<string, string> {
  return {
    ...(isLeaving ? {'server-leaving': '1'} : {}),
    ...(namedLimit === null ? {} : {'server-limit': namedLimit.toFixed(1)}),
  };
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function readNumber(request: IncomingMessage, name: string): number {
  return Number(readHeader(request, name));
}

/** Reads a whole body; returns `undefined` if it is cut. */
async function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
