import type {
  AdmittedRequest,
  Dispatch,
  EntryObservation,
  StreamEnd,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import type {LoopMonitor} from '@gentianshunt/runtime';
import {Agent, request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';

import {createEndpointConnector} from './endpointConnector.js';
import {
  DROP_TIMEOUT_MS,
  MAX_DROPPED_BYTES,
  MAX_HEAD_BYTES,
} from './answerBounds.js';
import type {CallerTable} from './callerTable.js';
import {DISPATCH_HEADER, dropBody, forwardAnswer} from './forwardAnswer.js';
import type {AnswerStream} from './forwardAnswer.js';
import {createStoredBody} from './storedBody.js';

/** Longest wait for a connection to an endpoint. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Shortest time between two reports that a stream still delivers data. */
export const PROGRESS_INTERVAL_MS = 5_000;
/** Shortest time between two reports of the token count of a stream. */
export const TOKEN_REPORT_INTERVAL_MS = 500;
/** Longest wait for an endpoint to confirm a cancellation. */
const CANCEL_TIMEOUT_MS = 1_000;

/** Options of the stream client. */
export interface StreamClientOptions {
  readonly callers: CallerTable;
  readonly loop: LoopMonitor;
  readonly post: (observation: EntryObservation) => void;
}

/** Opens, resumes and cancels the answer streams from endpoints. */
export interface StreamClient {
  open(request: AdmittedRequest, dispatch: Dispatch): void;
  resume(dispatch: Dispatch, fromEvent: number): void;
  cancel(dispatch: Dispatch): void;
  close(): Promise<void>;
}

interface OpenStream {
  readonly request: AdmittedRequest;
  readonly answer: AnswerStream;
  abort: AbortController;
  isRunning: boolean;
}

/** Creates a client with its own connection pool to the endpoints. */
export function createStreamClient(options: StreamClientOptions): StreamClient {
  const agent = new Agent({
    connections: null,
    pipelining: 1,
    connect: createEndpointConnector({timeout: CONNECT_TIMEOUT_MS}),
    maxHeaderSize: MAX_HEAD_BYTES,
    // The controllers of the entry decide how long an endpoint may be silent.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const streams = new Map<DispatchId, OpenStream>();
  const run = (stream: OpenStream, request: EndpointRequest): void => {
    stream.abort = new AbortController();
    stream.isRunning = true;
    void runStream(options, agent, stream, request).then(end => {
      stream.isRunning = false;
      postEnd(options, stream, end);
      // Posting the end may have resumed the stream.
      if (!stream.isRunning) {
        streams.delete(stream.answer.dispatch);
      }
    });
  };
  return {
    open: (request, dispatch) => {
      const stream = createOpenStream(options, request, dispatch);
      if (stream === undefined) {
        cancelUnsent(options, dispatch);
        return;
      }
      streams.set(dispatch.id, stream);
      options.loop.runAfterReading(() => {
        const {abort, answer} = stream;
        if (answer.response.destroyed || abort.signal.aborted) {
          streams.delete(dispatch.id);
          cancelUnsent(options, dispatch);
        } else {
          run(stream, createEndpointRequest(answer, dispatch));
        }
      });
    },
    resume: (dispatch, fromEvent) => {
      const stream = streams.get(dispatch.id);
      if (stream !== undefined) {
        run(stream, createResumeRequest(dispatch, fromEvent));
      }
    },
    cancel: dispatch => {
      streams.get(dispatch.id)?.abort.abort();
      void cancelAtEndpoint(agent, dispatch);
    },
    close: () => agent.destroy(),
  };
}

function createOpenStream(
  {callers}: StreamClientOptions,
  request: AdmittedRequest,
  dispatch: Dispatch,
): OpenStream | undefined {
  const caller = callers.find(request.id);
  if (caller === undefined) {
    return undefined;
  }
  return {
    request,
    answer: {
      dispatch: dispatch.id,
      forwarded: caller.forwarded,
      response: caller.response,
      storedBody: createStoredBody(request.claim !== null),
      events: 0,
      status: 0,
      contentType: '',
    },
    abort: new AbortController(),
    isRunning: false,
  };
}

/** Reports that a request was not sent because its caller disconnected. */
function cancelUnsent({post}: StreamClientOptions, dispatch: Dispatch): void {
  const end = {kind: 'withheld', cause: 'callerGone'} as const;
  post({kind: 'streamEnded', dispatch: dispatch.id, end, stored: null});
}

/** Posts to the board how a stream ended, then completes the response. */
function postEnd(
  options: StreamClientOptions,
  {request, answer}: OpenStream,
  end: StreamEnd,
): void {
  const {status, contentType, storedBody, response} = answer;
  const isComplete = end.kind === 'complete';
  options.post({
    kind: 'streamEnded',
    dispatch: answer.dispatch,
    end,
    stored: isComplete ? {status, contentType, body: storedBody.read()} : null,
  });
  if (isComplete) {
    options.callers.remove(request.id);
    response.end();
  }
}

/** An HTTP request that opens a stream or resumes one. */
interface EndpointRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
  /** Whether an answer with an error status is forwarded to the caller. */
  readonly acceptsAnyStatus: boolean;
}

function createEndpointRequest(
  answer: AnswerStream,
  dispatch: Dispatch,
): EndpointRequest {
  const {forwarded} = answer;
  return {
    url: `${dispatch.target.url}${forwarded.path}`,
    method: forwarded.method,
    headers: {
      'content-type': forwarded.contentType,
      [DISPATCH_HEADER]: dispatch.id,
    },
    body: forwarded.method === 'GET' ? null : forwarded.body,
    // Error statuses of a plain service are meant for the caller.
    acceptsAnyStatus: forwarded.framing === 'contentLength',
  };
}

function createResumeRequest(
  dispatch: Dispatch,
  fromEvent: number,
): EndpointRequest {
  return {
    url: `${formatStreamUrl(dispatch)}?from=${fromEvent}`,
    method: 'GET',
    headers: {[DISPATCH_HEADER]: dispatch.id},
    body: null,
    acceptsAnyStatus: false,
  };
}

function formatStreamUrl(dispatch: Dispatch): string {
  return `${dispatch.target.url}/v1/streams/${dispatch.id}`;
}

async function runStream(
  options: StreamClientOptions,
  agent: Agent,
  stream: OpenStream,
  request: EndpointRequest,
): Promise<StreamEnd> {
  const {answer, abort} = stream;
  let data: Dispatcher.ResponseData;
  try {
    const {url, method, headers, body} = request;
    const {signal} = abort;
    const dispatcher = agent;
    const requestOptions = {dispatcher, method, headers, body, signal};
    data = await sendRequest(url, requestOptions);
    if (!request.acceptsAnyStatus && !isSuccess(data.statusCode)) {
      void dropAnswer(data);
      return {kind: 'rejected', status: data.statusCode};
    }
  } catch (error) {
    return toStreamEnd(error, answer.events);
  }
  const reportProgress = createProgressReporter(options, answer);
  const reportTokens = createTokenReporter(options, answer);
  const end = await forwardAnswer(answer, data, () => {
    reportProgress();
    reportTokens();
  });
  if (end.kind === 'cut') {
    dropBody(data);
  }
  return end;
}

const SUCCESS_CLASS = 2;
const STATUS_CLASS_SIZE = 100;

function isSuccess(status: number): boolean {
  return Math.floor(status / STATUS_CLASS_SIZE) === SUCCESS_CLASS;
}

/** Errors while connecting; no byte of the request has been sent by then. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

function toStreamEnd(error: unknown, events: number): StreamEnd {
  const {code, message} = error as NodeJS.ErrnoException;
  return code !== undefined && NOT_SENT_CODES.has(code)
    ? {kind: 'notSent', detail: code}
    : {
        kind: 'cut',
        detail: message,
        events,
        progress: events > 0 ? 'delivering' : 'awaitingHead',
      };
}

/**
 * Reads the rest of an answer that nobody needs, so that its connection can be
 * used again. The connection is closed if the answer is too long or too slow.
 */
async function dropAnswer({body}: Dispatcher.ResponseData): Promise<void> {
  const timer = setTimeout(() => body.destroy(), DROP_TIMEOUT_MS);
  body.on('error', () => undefined);
  try {
    await body.dump({limit: MAX_DROPPED_BYTES});
  } catch {
    // The connection was closed.
  } finally {
    clearTimeout(timer);
  }
}

/** Reports the first byte, and at intervals that more data has arrived. */
function createProgressReporter(
  options: StreamClientOptions,
  {dispatch}: AnswerStream,
): () => void {
  let reportedAt: number | undefined;
  return () => {
    const now = performance.now();
    if (reportedAt === undefined) {
      options.post({kind: 'streamStarted', dispatch});
    } else if (now - reportedAt < PROGRESS_INTERVAL_MS) {
      return;
    } else {
      options.post({kind: 'streamProgress', dispatch});
    }
    reportedAt = now;
  };
}

/** Reports how many tokens an event stream has delivered: one per event. */
function createTokenReporter(
  options: StreamClientOptions,
  answer: AnswerStream,
): () => void {
  const {dispatch, forwarded} = answer;
  let reportedAt = Number.NEGATIVE_INFINITY;
  return () => {
    const now = performance.now();
    const isDue = now - reportedAt >= TOKEN_REPORT_INTERVAL_MS;
    if (forwarded.framing === 'eventStream' && isDue) {
      reportedAt = now;
      const answerTokens = answer.events;
      options.post({kind: 'tokensStreamed', dispatch, answerTokens});
    }
  };
}

/**
 * Deletes the stream at the endpoint. If only the connection were closed, the
 * endpoint would wait for the stream to be resumed.
 */
async function cancelAtEndpoint(
  agent: Agent,
  dispatch: Dispatch,
): Promise<void> {
  try {
    const reply = await sendRequest(formatStreamUrl(dispatch), {
      dispatcher: agent,
      method: 'DELETE',
      headers: {[DISPATCH_HEADER]: dispatch.id},
      headersTimeout: CANCEL_TIMEOUT_MS,
    });
    await dropAnswer(reply);
  } catch {
    // An unreachable endpoint ends the stream on its own.
  }
}
