import type {
  AdmittedRequest,
  Dispatch,
  EntryObservation,
  StreamEnd,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import {Agent, request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';

import type {CallerTable} from './callerTable.js';
import {carryAnswer, dropBody, DISPATCH_HEADER} from './carryAnswer.js';
import type {AnswerStream} from './carryAnswer.js';
import {createKeptBody} from './keptBody.js';

/** Longest wait for an endpoint to accept a connection. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Least time between two reports that a stream still delivers. */
export const PROGRESS_INTERVAL_MS = 5_000;
/** Least time between two reports of the tokens of a stream. */
export const TOKEN_REPORT_INTERVAL_MS = 500;
/** Longest wait for an endpoint to confirm a cancellation. */
const CANCEL_TIMEOUT_MS = 1_000;

/** What the stream client needs. */
export interface StreamClientOptions {
  readonly callers: CallerTable;
  readonly post: (observation: EntryObservation) => void;
}

/** Opens, resumes and cancels the streams that carry answers. */
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

/** Creates a client with its own connections to the endpoints. */
export function createStreamClient(options: StreamClientOptions): StreamClient {
  const agent = new Agent({
    connections: null,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    // How long an endpoint may be silent is decided on the board.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const streams = new Map<DispatchId, OpenStream>();
  const run = (stream: OpenStream, opening: Opening): void => {
    stream.abort = new AbortController();
    stream.isRunning = true;
    void runStream(options, agent, stream, opening).then(end => {
      stream.isRunning = false;
      postEnd(options, stream, end);
      // The decision may have been to resume.
      if (!stream.isRunning) {
        streams.delete(stream.answer.dispatch);
      }
    });
  };
  return {
    open: (request, dispatch) => {
      const stream = createOpenStream(options, request, dispatch);
      if (stream === undefined) {
        const end = {kind: 'notSent', detail: 'caller gone'} as const;
        options.post({
          kind: 'streamEnded',
          dispatch: dispatch.id,
          end,
          stored: null,
        });
        return;
      }
      streams.set(dispatch.id, stream);
      run(stream, createOpening(stream.answer, dispatch));
    },
    resume: (dispatch, fromEvent) => {
      const stream = streams.get(dispatch.id);
      if (stream !== undefined) {
        run(stream, createResumption(dispatch, fromEvent));
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
      kept: createKeptBody(request.claim !== null),
      events: 0,
      status: 0,
      contentType: '',
    },
    abort: new AbortController(),
    isRunning: false,
  };
}

/** Tells the board how a stream ended, then the caller. */
function postEnd(
  options: StreamClientOptions,
  {request, answer}: OpenStream,
  end: StreamEnd,
): void {
  const {status, contentType, kept, response} = answer;
  const isWhole = end.kind === 'complete';
  options.post({
    kind: 'streamEnded',
    dispatch: answer.dispatch,
    end,
    stored: isWhole ? {status, contentType, body: kept.read()} : null,
  });
  if (isWhole) {
    options.callers.remove(request.id);
    response.end();
  }
}

/** A request that starts a stream or goes on reading one. */
interface Opening {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
  /** Whether the endpoint may answer with a status that is no success. */
  readonly takesAnyStatus: boolean;
}

function createOpening(answer: AnswerStream, dispatch: Dispatch): Opening {
  const {forwarded} = answer;
  return {
    url: `${dispatch.target.url}${forwarded.path}`,
    method: forwarded.method,
    headers: {
      'content-type': forwarded.contentType,
      [DISPATCH_HEADER]: dispatch.id,
    },
    body: forwarded.method === 'GET' ? null : forwarded.body,
    // Whatever a plain service answers is its answer.
    takesAnyStatus: forwarded.framing === 'contentLength',
  };
}

function createResumption(dispatch: Dispatch, fromEvent: number): Opening {
  return {
    url: `${formatStreamUrl(dispatch)}?from=${fromEvent}`,
    method: 'GET',
    headers: {[DISPATCH_HEADER]: dispatch.id},
    body: null,
    takesAnyStatus: false,
  };
}

function formatStreamUrl(dispatch: Dispatch): string {
  return `${dispatch.target.url}/v1/streams/${dispatch.id}`;
}

async function runStream(
  options: StreamClientOptions,
  agent: Agent,
  stream: OpenStream,
  opening: Opening,
): Promise<StreamEnd> {
  const {answer, abort} = stream;
  let data: Dispatcher.ResponseData;
  try {
    const {url, method, headers, body} = opening;
    const {signal} = abort;
    const dispatcher = agent;
    const sent = {dispatcher, method, headers, body, signal};
    data = await sendRequest(url, sent);
    if (!opening.takesAnyStatus && !isSuccess(data.statusCode)) {
      await data.body.dump();
      return {kind: 'rejected', status: data.statusCode};
    }
  } catch (error) {
    return toStreamEnd(error, answer.events);
  }
  const reportProgress = createProgress(options, answer);
  const reportTokens = createTokenReport(options, answer);
  const end = await carryAnswer(answer, data, () => {
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

/** Errors of the connection attempt: no byte has been sent before them. */
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
    : {kind: 'cut', detail: message, events};
}

/** Reports the first byte, and later that the stream still delivers. */
function createProgress(
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

/** Reports how many tokens a stream of events has delivered. */
function createTokenReport(
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

/** Closing the connection alone would let the endpoint wait for a resume. */
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
    await reply.body.dump();
  } catch {
    // An endpoint that cannot be reached ends the stream by itself.
  }
}
