import type {ServerResponse} from 'node:http';

import type {StreamEnd} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import type {Dispatcher} from 'undici';

import type {ForwardedRequest} from './callerTable.js';
import {
  createEventSplitter,
  isEndMark,
  MAX_EVENT_BYTES,
} from './eventSplitter.js';
import type {StoredBody} from './storedBody.js';

/** Header with the dispatch ID, in requests to endpoints and in answers. */
export const DISPATCH_HEADER = 'x-dispatch-id';

/**
 * The stream of one answer from an endpoint to a caller. A resumed stream keeps
 * its event count.
 */
export interface AnswerStream {
  readonly dispatch: DispatchId;
  readonly forwarded: ForwardedRequest;
  readonly response: ServerResponse;
  readonly storedBody: StoredBody;
  /** Number of complete events sent to the caller. */
  events: number;
  status: number;
  contentType: string;
}

type ResponseData = Dispatcher.ResponseData;

/** Forwards an answer to its caller, no faster than the caller reads it. */
export async function forwardAnswer(
  stream: AnswerStream,
  data: ResponseData,
  onProgress: () => void,
): Promise<StreamEnd> {
  const answerDispatch = data.headers[DISPATCH_HEADER];
  if (answerDispatch !== undefined && answerDispatch !== stream.dispatch) {
    return createTruncatedEnd(stream, 'the answer belongs to another dispatch');
  }
  startResponse(stream, data);
  try {
    return stream.forwarded.framing === 'eventStream'
      ? await forwardEvents(
          stream,
          data,
          answerDispatch !== undefined,
          onProgress,
        )
      : await forwardBody(stream, data, onProgress);
  } catch (error) {
    return createTruncatedEnd(stream, (error as Error).message);
  }
}

/** Discards a body that has not been read to its end. */
export function dropBody({body}: ResponseData): void {
  // Destroying an unread body emits an error that would otherwise be uncaught.
  body.on('error', () => undefined);
  body.destroy();
}

function createTruncatedEnd(stream: AnswerStream, detail: string): StreamEnd {
  const {events} = stream;
  const progress = events > 0 ? 'delivering' : 'awaitingFirstEvent';
  return {kind: 'cut', detail, events, progress};
}

function startResponse(stream: AnswerStream, data: ResponseData): void {
  const {response} = stream;
  stream.status = data.statusCode;
  stream.contentType = String(data.headers['content-type'] ?? '');
  if (response.headersSent) {
    return;
  }
  response.statusCode = stream.status;
  response.setHeader('content-type', stream.contentType);
  response.setHeader(DISPATCH_HEADER, stream.dispatch);
  const length = data.headers['content-length'];
  if (stream.forwarded.framing === 'contentLength' && length !== undefined) {
    response.setHeader('content-length', length);
  }
}

/**
 * Forwards complete events only, so that a resumed stream continues exactly
 * where the caller left off. Events of an endpoint that sends the dispatch
 * header must contain the dispatch ID as well.
 */
async function forwardEvents(
  stream: AnswerStream,
  data: ResponseData,
  hasDispatchHeader: boolean,
  onProgress: () => void,
): Promise<StreamEnd> {
  const splitter = createEventSplitter();
  for await (const chunk of data.body as AsyncIterable<Buffer>) {
    onProgress();
    for (const event of splitter.push(chunk)) {
      const isEnd = isEndMark(event);
      if (hasDispatchHeader && !isEnd && !event.includes(stream.dispatch)) {
        return createTruncatedEnd(
          stream,
          'an event belongs to another dispatch',
        );
      }
      await sendBytes(stream, event);
      if (isEnd) {
        return {kind: 'complete'};
      }
      stream.events += 1;
    }
    if (splitter.pendingBytes > MAX_EVENT_BYTES) {
      return createTruncatedEnd(stream, 'an event is too large');
    }
  }
  return createTruncatedEnd(stream, 'no end mark');
}

async function forwardBody(
  stream: AnswerStream,
  data: ResponseData,
  onProgress: () => void,
): Promise<StreamEnd> {
  if (!hasDelimitedBody(data)) {
    return createTruncatedEnd(
      stream,
      'the body has neither length nor end mark',
    );
  }
  // undici raises an error when a delimited body ends early.
  for await (const chunk of data.body as AsyncIterable<Buffer>) {
    onProgress();
    await sendBytes(stream, chunk);
  }
  return {kind: 'complete'};
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns whether a truncated body is distinguishable from a complete one. */
function hasDelimitedBody({headers, statusCode}: ResponseData): boolean {
  return (
    BODILESS_STATUSES.has(statusCode) ||
    headers['content-length'] !== undefined ||
    String(headers['transfer-encoding']).toLowerCase().includes('chunked')
  );
}

/**
 * Stores bytes and sends them to the caller. After the caller has disconnected
 * they are only stored, so that a retry of its request gets the whole answer.
 */
async function sendBytes(stream: AnswerStream, bytes: Buffer): Promise<void> {
  const {response, storedBody} = stream;
  storedBody.push(bytes);
  if (response.destroyed || response.write(bytes)) {
    return;
  }
  await new Promise<void>(resolve => {
    const proceed = (): void => {
      response.off('drain', proceed);
      response.off('close', proceed);
      resolve();
    };
    response.on('drain', proceed);
    response.on('close', proceed);
  });
}
