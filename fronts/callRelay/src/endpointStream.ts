import type {Clock} from '@gentianshunt/clock';
import type {
  AdmittedRequest,
  Dispatch,
  EntryObservation,
  StreamEnd,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';

import {createAnswerWriter} from './answerWriter.js';
import type {AnswerWriter} from './answerWriter.js';
import type {AnswerHead, CallProtocol} from './callProtocol.js';
import type {CallTable, OpenCall} from './callTable.js';
import {findHeader} from './headers.js';

/** Longest wait for an endpoint to accept a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;
/** How long an idle connection to an endpoint is kept, in milliseconds. */
export const KEEP_ALIVE_MS = 4_000;
/** Time by which a connection is dropped before the endpoint drops it. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Least time between two reports of the tokens of a stream. */
export const TOKEN_REPORT_INTERVAL_MS = 250;

/** What the endpoint streams need. */
export interface EndpointStreamOptions {
  readonly calls: CallTable;
  readonly protocol: CallProtocol;
  readonly clock: Clock;
  readonly post: (observation: EntryObservation) => void;
}

/** Opens and cancels the streams that carry answers. */
export interface EndpointStreams {
  open(request: AdmittedRequest, dispatch: Dispatch): void;
  cancel(dispatch: Dispatch): void;
  close(): Promise<void>;
}

/** Creates a client with its own connections to the endpoints. */
export function createEndpointStreams(
  options: EndpointStreamOptions,
): EndpointStreams {
  const agent = new Agent({
    connections: null,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    connect: {timeout: CONNECT_TIMEOUT_MS, noDelay: true},
    // How long an endpoint may be silent is decided on the board.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const streams = new Map<DispatchId, EndpointStream>();
  return {
    open: (request, dispatch) => {
      const call = options.calls.find(request.id);
      if (call === undefined) {
        postEnd(options, dispatch, {kind: 'notSent', detail: 'caller gone'});
        return;
      }
      const stream = createStream(options, {
        call,
        request,
        dispatch,
        onEnded: () => streams.delete(dispatch.id),
      });
      streams.set(dispatch.id, stream);
      agent.dispatch(
        createSending(options, call, request, dispatch),
        stream.handler,
      );
    },
    cancel: dispatch => {
      streams.get(dispatch.id)?.cancel();
      streams.delete(dispatch.id);
    },
    close: () => agent.destroy(),
  };
}

function createSending(
  {protocol, clock}: EndpointStreamOptions,
  call: OpenCall,
  request: AdmittedRequest,
  dispatch: Dispatch,
): Dispatcher.DispatchOptions {
  const timeLeftMs = Math.max(1, call.dueAt - clock.readMonotonic());
  const headers = protocol.listEndpointHeaders({
    call: call.head,
    request,
    dispatch,
    timeLeftMs,
    lastEventId: call.lastEventId,
  });
  return {
    origin: dispatch.target.url,
    path: call.head.url,
    method: call.head.method as Dispatcher.HttpMethod,
    headers: [...headers],
    body: call.body.length === 0 ? null : call.body,
  };
}

function postEnd(
  {post}: EndpointStreamOptions,
  dispatch: Dispatch,
  end: StreamEnd,
): void {
  post({kind: 'streamEnded', dispatch: dispatch.id, end, stored: null});
}

interface EndpointStream {
  readonly handler: Dispatcher.DispatchHandler;
  cancel(): void;
}

/** How a stream treats the body of an answer. */
type BodyUse =
  | {readonly kind: 'awaitingHead'}
  | {readonly kind: 'pass'; readonly writer: AnswerWriter}
  | {readonly kind: 'discard'};

/** What one stream is about. */
interface StreamContext {
  readonly call: OpenCall;
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  readonly onEnded: () => void;
}

function createStream(
  options: EndpointStreamOptions,
  {call, request, dispatch, onEnded}: StreamContext,
): EndpointStream {
  let controller: Dispatcher.DispatchController | undefined;
  let use: BodyUse = {kind: 'awaitingHead'};
  let isEnded = false;
  const reportEvents = createEventReport(options, dispatch);
  const end = (reason: StreamEnd): void => {
    if (!isEnded) {
      isEnded = true;
      onEnded();
      postEnd(options, dispatch, reason);
    }
  };
  const abort = (detail: string): void => {
    end({kind: 'cut', detail, events: 0});
    controller?.abort(new Error(detail));
  };
  const resume = (): void => controller?.resume();
  return {
    cancel: () => {
      isEnded = true;
      // Without a connection yet, the dispatch ends when it gets one.
      controller?.abort(new Error('cancelled'));
    },
    handler: {
      onRequestStart: started => {
        controller = started;
        if (isEnded) {
          started.abort(new Error('cancelled'));
        }
      },
      onResponseStart: (started, status) => {
        if (status < 200) {
          return;
        }
        const head = {status, headers: readRawHeaders(started)};
        const judged = decideUse(options, call, request, dispatch, head);
        switch (judged.kind) {
          case 'pass':
            use = {
              kind: 'pass',
              writer: createAnswerWriter(
                call,
                head,
                status === SUCCESS && isResumable(request),
              ),
            };
            return;
          case 'foreign':
            abort('the answer belongs to another call');
            return;
          case 'ended':
            use = {kind: 'discard'};
            end(judged.end);
            return;
        }
      },
      onResponseData: (_controller, chunk) => {
        if (use.kind !== 'pass' || isEnded) {
          return;
        }
        reportEvents();
        try {
          if (!use.writer.write(chunk)) {
            controller?.pause();
            call.response.once('drain', resume);
          }
        } catch (error) {
          abort((error as Error).message);
        }
      },
      onResponseEnd: () => {
        if (use.kind !== 'pass' || isEnded) {
          return;
        }
        if (use.writer.end()) {
          options.calls.take(call.id);
          end({kind: 'complete'});
        } else {
          end({kind: 'cut', detail: 'the last event is not whole', events: 0});
        }
      },
      onResponseError: (_controller, error) => end(toStreamEnd(error)),
    },
  };
}

function isResumable({terms, isIdempotent}: AdmittedRequest): boolean {
  return terms?.isResumable === true && isIdempotent === true;
}

/** The headers as they came; the library hands them out as bytes. */
function readRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders as unknown as readonly Buffer[] | null;
  return raw?.map(part => part.toString('latin1')) ?? [];
}

/** What becomes of an answer, as its head tells. */
type JudgedAnswer =
  | {readonly kind: 'pass'}
  | {readonly kind: 'foreign'}
  | {readonly kind: 'ended'; readonly end: StreamEnd};

/** Statuses that promise to a caller that its call has not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SUCCESS = 200;
const FIRST_SERVER_ERROR = 500;
const FIRST_REDIRECT = 300;

function decideUse(
  {protocol}: EndpointStreamOptions,
  call: OpenCall,
  request: AdmittedRequest,
  dispatch: Dispatch,
  head: AnswerHead,
): JudgedAnswer {
  const {status} = head;
  const facts = protocol.readAnswer(head);
  if (facts.isNotExecuted) {
    const detail = `not executed, status ${status}`;
    return {kind: 'ended', end: {kind: 'notExecuted', detail}};
  }
  if (facts.call !== null && facts.call !== request.id) {
    return {kind: 'foreign'};
  }
  const isSuccess = status < FIRST_REDIRECT;
  const failed = {kind: 'ended', end: {kind: 'failed', status}} as const;
  if (isSuccess) {
    return facts.isAuthentic && hasMarkedEnd(call, head)
      ? {kind: 'pass'}
      : failed;
  }
  // The caller has the head of a success already.
  if (call.response.headersSent) {
    return failed;
  }
  const isFailure =
    status >= FIRST_SERVER_ERROR || PROMISING_STATUSES.has(status);
  const isKept = dispatch.isRepeatable === true && isFailure;
  // The endpoint's own refusal would promise what it does not.
  return isKept || PROMISING_STATUSES.has(status) ? failed : {kind: 'pass'};
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Without a mark, nobody can tell a whole body from one that was cut. */
function hasMarkedEnd({head: {method}}: OpenCall, answer: AnswerHead): boolean {
  const {status, headers} = answer;
  return (
    method === 'HEAD' ||
    BODILESS_STATUSES.has(status) ||
    findHeader(headers, 'content-length') !== undefined ||
    findHeader(headers, 'transfer-encoding') !== undefined
  );
}

/** Errors of the connection attempt: no byte has been sent before them. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

function toStreamEnd(error: Error): StreamEnd {
  const {code, message} = error as NodeJS.ErrnoException;
  return code !== undefined && NOT_SENT_CODES.has(code)
    ? {kind: 'notSent', detail: code}
    : {kind: 'cut', detail: code ?? message, events: 0};
}

/** Reports the first byte, and now and then how many events have come. */
function createEventReport(
  {clock, post}: EndpointStreamOptions,
  {id: dispatch}: Dispatch,
): () => void {
  let reportedAt: number | undefined;
  let chunks = 0;
  return () => {
    const now = clock.readMonotonic();
    chunks += 1;
    if (reportedAt === undefined) {
      post({kind: 'streamStarted', dispatch});
    } else if (now - reportedAt < TOKEN_REPORT_INTERVAL_MS) {
      return;
    }
    reportedAt = now;
    post({kind: 'tokensStreamed', dispatch, answerTokens: chunks});
  };
}
