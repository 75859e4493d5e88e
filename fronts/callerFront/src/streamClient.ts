import type {ServerResponse} from 'node:http';
import {once} from 'node:events';

import type {
  AdmittedRequest,
  Dispatch,
  EntryObservation,
  StoredAnswer,
  StreamEnd,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import {Agent, request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';

import type {CallerTable, ForwardedRequest} from './callerTable.js';

/** Marks the end of an event stream. */
export const END_MARK = 'data: [DONE]\n\n';
/** Largest answer kept for resends, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;
/** Longest wait for an endpoint to accept a connection. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Longest silence of an endpoint in the middle of an answer. */
export const BODY_TIMEOUT_MS = 60_000;

/** What the stream client needs. */
export interface StreamClientOptions {
  readonly callers: CallerTable;
  readonly post: (observation: EntryObservation) => void;
}

/** Opens and cancels the streams that carry answers. */
export interface StreamClient {
  open(request: AdmittedRequest, dispatch: Dispatch): void;
  cancel(dispatch: Dispatch): void;
  close(): Promise<void>;
}

/** Creates a client with its own connections to the endpoints. */
export function createStreamClient(options: StreamClientOptions): StreamClient {
  const agent = new Agent({
    connections: null,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: BODY_TIMEOUT_MS,
  });
  const streams = new Map<DispatchId, AbortController>();
  return {
    open: (request, dispatch) => {
      const controller = new AbortController();
      streams.set(dispatch.id, controller);
      void runStream(options, agent, request, dispatch, controller).finally(
        () => streams.delete(dispatch.id),
      );
    },
    cancel: dispatch => streams.get(dispatch.id)?.abort(),
    close: () => agent.destroy(),
  };
}

/** How a stream ended, and the answer if it is to be kept. */
interface StreamResult {
  readonly end: StreamEnd;
  readonly stored: StoredAnswer | null;
}

async function runStream(
  options: StreamClientOptions,
  agent: Agent,
  request: AdmittedRequest,
  dispatch: Dispatch,
  controller: AbortController,
): Promise<void> {
  const caller = options.callers.find(request.id);
  if (caller === undefined) {
    return;
  }
  const {forwarded, response} = caller;
  const result = await openResponse(
    agent,
    forwarded,
    dispatch,
    controller,
  ).then(opened =>
    opened.kind === 'opened'
      ? carryAnswer(options, request, dispatch, opened.data, {
          forwarded,
          response,
        })
      : {end: opened.end, stored: null},
  );
  options.post({kind: 'streamEnded', dispatch: dispatch.id, ...result});
  if (result.end.kind === 'complete') {
    options.callers.remove(request.id);
    response.end();
  }
}

type OpenResult =
  | {readonly kind: 'opened'; readonly data: Dispatcher.ResponseData}
  | {readonly kind: 'failed'; readonly end: StreamEnd};

async function openResponse(
  agent: Agent,
  forwarded: ForwardedRequest,
  dispatch: Dispatch,
  controller: AbortController,
): Promise<OpenResult> {
  try {
    const data = await sendRequest(`${dispatch.target.url}${forwarded.path}`, {
      dispatcher: agent,
      method: forwarded.method,
      headers: {
        'content-type': forwarded.contentType,
        'x-dispatch-id': dispatch.id,
      },
      body: forwarded.method === 'GET' ? null : forwarded.body,
      signal: controller.signal,
    });
    if (data.statusCode >= 500 && forwarded.framing === 'eventStream') {
      await data.body.dump();
      const end = {kind: 'rejected', status: data.statusCode} as const;
      return {kind: 'failed', end};
    }
    return {kind: 'opened', data};
  } catch (error) {
    return {kind: 'failed', end: toStreamEnd(error)};
  }
}

const NOT_SENT_CODES = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ECONNREFUSED']);

function toStreamEnd(error: unknown): StreamEnd {
  const {code, message} = error as NodeJS.ErrnoException;
  return code !== undefined && NOT_SENT_CODES.has(code)
    ? {kind: 'notSent', detail: code}
    : {kind: 'cut', detail: message};
}

interface CallerSide {
  readonly forwarded: ForwardedRequest;
  readonly response: ServerResponse;
}

/** Copies an answer to its caller no faster than the caller takes it. */
async function carryAnswer(
  options: StreamClientOptions,
  request: AdmittedRequest,
  dispatch: Dispatch,
  data: Dispatcher.ResponseData,
  side: CallerSide,
): Promise<StreamResult> {
  const {response, forwarded} = side;
  const contentType = String(data.headers['content-type'] ?? '');
  response.statusCode = data.statusCode;
  response.setHeader('content-type', contentType);
  response.setHeader('x-request-id', request.id);
  const tail = createTail(END_MARK.length);
  const kept = createKeptBody(request.claim !== null);
  let isStarted = false;
  try {
    for await (const chunk of data.body as AsyncIterable<Buffer>) {
      if (!isStarted) {
        isStarted = true;
        options.post({kind: 'streamStarted', dispatch: dispatch.id});
      }
      tail.push(chunk);
      kept.push(chunk);
      if (!response.write(chunk) && !response.destroyed) {
        await Promise.race([once(response, 'drain'), once(response, 'close')]);
      }
    }
  } catch (error) {
    const detail = (error as Error).message;
    return {end: {kind: 'cut', detail}, stored: null};
  }
  const isWhole =
    forwarded.framing === 'contentLength' || tail.read() === END_MARK;
  return isWhole
    ? {
        end: {kind: 'complete'},
        stored: {
          status: data.statusCode,
          contentType,
          body: kept.read(),
        },
      }
    : {end: {kind: 'cut', detail: 'no end mark'}, stored: null};
}

interface Tail {
  push(chunk: Buffer): void;
  read(): string;
}

/** Keeps the last bytes of a stream. */
function createTail(length: number): Tail {
  let bytes: Buffer = Buffer.alloc(0);
  return {
    push: chunk => {
      bytes =
        chunk.length >= length
          ? chunk.subarray(chunk.length - length)
          : Buffer.concat([bytes, chunk]).subarray(-length);
    },
    read: () => bytes.toString('latin1'),
  };
}

interface KeptBody {
  push(chunk: Buffer): void;
  read(): Uint8Array | null;
}

/** Keeps a body while it is small enough. */
function createKeptBody(isWanted: boolean): KeptBody {
  let chunks: Buffer[] = [];
  let length = 0;
  let isKept = isWanted;
  return {
    push: chunk => {
      length += chunk.length;
      if (!isKept || length > MAX_STORED_ANSWER_BYTES) {
        isKept = false;
        chunks = [];
        return;
      }
      chunks.push(chunk);
    },
    read: () => (isKept ? Buffer.concat(chunks) : null),
  };
}
