import {request as httpRequest} from 'node:http';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {assertNever} from '@gentianshunt/errors';
import {
  ANSWER_BYTES_HEADER,
  ATTEMPT_HEADER,
  BODY_DIGEST_HEADER,
  buildCallerHeaders,
  createContent,
  digestContent,
  EVENTS_HEADER,
  findContentDefect,
  findStreamDefect,
  SEAL_HEADER,
  WORK_HEADER,
} from '@gentianshunt/platformWorker';

import type {PlannedRequest} from './callerPlan.js';
import type {AnswerResult} from './recordedEvent.js';
import type {Recorder} from './recorder.js';

/** Where and as whom a caller sends a request. */
export interface RequestTarget {
  readonly attempt: string;
  readonly vm: string;
  /** Base URL of the VM for callers. */
  readonly url: string;
  readonly host: string;
  readonly key: string;
  readonly agent: Agent;
  readonly recorder: Recorder;
}

const SLOW_PIECES = 8;
const SLOW_PAUSE_MS = 150;
/** Time after the time limit at which the caller leaves. */
const PATIENCE_MS = 500;

/** Sends a request and records what becomes of it. */
export async function sendRequest(
  target: RequestTarget,
  planned: PlannedRequest,
): Promise<AnswerResult> {
  const {attempt, recorder} = target;
  const body = createBody(attempt, planned);
  const call = httpRequest(`${target.url}/${planned.kind}/call`, {
    method: 'POST',
    agent: target.agent,
    headers: listHeaders(target, planned, body),
  });
  const result = awaitResult(target, planned, call);
  call.once('socket', () => {
    recorder.record({
      kind: 'requestSent',
      request: {
        attempt,
        vm: target.vm,
        kind: planned.kind,
        timeLeftMs: planned.timeLeftMs,
        isKept: call.reusedSocket,
      },
    });
  });
  call.once('finish', () => recorder.record({kind: 'requestWritten', attempt}));
  void writeBody(call, body, planned);
  const ended = await result;
  recorder.record({kind: 'requestEnded', attempt, result: ended});
  call.destroy();
  return ended;
}

function createBody(attempt: string, {bodyBytes}: PlannedRequest): Buffer {
  return bodyBytes === 0
    ? Buffer.alloc(0)
    : createContent(`${attempt}/body`, bodyBytes);
}

function listHeaders(
  {attempt, host, key}: RequestTarget,
  planned: PlannedRequest,
  body: Buffer,
): Readonly<Record<string, string>> {
  const {timeLeftMs, workMs, answerBytes, events, bodyForm} = planned;
  return {
    ...buildCallerHeaders({attempt, host, key, timeLeftMs}),
    [WORK_HEADER]: String(workMs),
    [ANSWER_BYTES_HEADER]: String(answerBytes),
    [EVENTS_HEADER]: String(events),
    [BODY_DIGEST_HEADER]: digestContent(body),
    ...(bodyForm === 'chunked'
      ? {'transfer-encoding': 'chunked'}
      : {'content-length': String(body.length)}),
  };
}

async function writeBody(
  call: ClientRequest,
  body: Buffer,
  {bodyForm}: PlannedRequest,
): Promise<void> {
  switch (bodyForm) {
    case 'sized':
      call.end(body);
      return;
    case 'chunked':
    case 'slow':
      break;
    default:
      assertNever(bodyForm, 'writeBody');
  }
  const pieceBytes = Math.ceil(body.length / SLOW_PIECES) || 1;
  for (let sent = 0; sent < body.length; sent += pieceBytes) {
    if (call.destroyed) {
      return;
    }
    call.write(body.subarray(sent, sent + pieceBytes));
    if (bodyForm === 'slow') {
      await delay(SLOW_PAUSE_MS);
    }
  }
  call.end();
}

/** Resolves when the answer is whole or cut, or when the caller leaves. */
function awaitResult(
  target: RequestTarget,
  planned: PlannedRequest,
  call: ClientRequest,
): Promise<AnswerResult> {
  return new Promise(resolve => {
    const cancelAfterMs = planned.cancelAfterMs ?? Infinity;
    const longestMs = planned.timeLeftMs + PATIENCE_MS;
    const cause = cancelAfterMs < longestMs ? 'planned' : 'deadline';
    const timer = setTimeout(
      () => end({kind: 'cancelled', cause}),
      Math.min(cancelAfterMs, longestMs),
    );
    const end = (result: AnswerResult): void => {
      clearTimeout(timer);
      resolve(result);
    };
    call.on('error', error => end(createCut(error, false)));
    call.once('response', response => {
      void readAnswer(target, planned, response).then(end);
    });
  });
}

async function readAnswer(
  {attempt}: RequestTarget,
  planned: PlannedRequest,
  response: IncomingMessage,
): Promise<AnswerResult> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) {
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    return createCut(error as Error, true);
  }
  const status = response.statusCode ?? 0;
  if (!response.complete) {
    return createCut(new Error('incomplete'), true);
  }
  const answer = {
    attempt,
    seal: readHeader(response, SEAL_HEADER),
    echoedAttempt: readHeader(response, ATTEMPT_HEADER),
    body: Buffer.concat(chunks),
  };
  const findDefect =
    planned.events === 0 ? findContentDefect : findStreamDefect;
  const isSuccess = status >= 200 && status < 300;
  return {
    kind: 'whole',
    status,
    defect: isSuccess ? findDefect(answer) : undefined,
  };
}

/** An error of the system, unlike one of the HTTP client, is a reset. */
function createCut(error: Error, hasHead: boolean): AnswerResult {
  const isReset = 'syscall' in error;
  return {kind: 'cut', hasHead, isReset, detail: error.message};
}

function readHeader(
  {headers}: IncomingMessage,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join() : value;
}
