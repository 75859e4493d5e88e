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
import type {KeptBody} from './keptBody.js';

/** Header that names the dispatch, in requests and in answers. */
export const DISPATCH_HEADER = 'x-dispatch-id';

/** One stream from an endpoint to a caller; resuming it keeps the counts. */
export interface AnswerStream {
  readonly dispatch: DispatchId;
  readonly forwarded: ForwardedRequest;
  readonly response: ServerResponse;
  readonly kept: KeptBody;
  /** Complete events that the caller has been sent. */
  events: number;
  status: number;
  contentType: string;
}

type ResponseData = Dispatcher.ResponseData;

/** Copies an answer to its caller no faster than the caller takes it. */
export async function carryAnswer(
  stream: AnswerStream,
  data: ResponseData,
  onProgress: () => void,
): Promise<StreamEnd> {
  const named = data.headers[DISPATCH_HEADER];
  if (named !== undefined && named !== stream.dispatch) {
    return cut(stream, 'the answer belongs to another dispatch');
  }
  startResponse(stream, data);
  try {
    return stream.forwarded.framing === 'eventStream'
      ? await carryEvents(stream, data, named !== undefined, onProgress)
      : await carryBody(stream, data, onProgress);
  } catch (error) {
    return cut(stream, (error as Error).message);
  }
}

/** Gives up a body that is not read to its end. */
export function dropBody({body}: ResponseData): void {
  // Destroying an unread body raises an error that nobody else takes.
  body.on('error', () => undefined);
  body.destroy();
}

function cut(stream: AnswerStream, detail: string): StreamEnd {
  return {kind: 'cut', detail, events: stream.events};
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

/** Passes on whole events only, so that a resumed stream joins exactly. */
async function carryEvents(
  stream: AnswerStream,
  data: ResponseData,
  isNamed: boolean,
  onProgress: () => void,
): Promise<StreamEnd> {
  const splitter = createEventSplitter();
  for await (const chunk of data.body as AsyncIterable<Buffer>) {
    onProgress();
    for (const event of splitter.push(chunk)) {
      const isEnd = isEndMark(event);
      if (isNamed && !isEnd && !event.includes(stream.dispatch)) {
        return cut(stream, 'an event belongs to another dispatch');
      }
      await sendBytes(stream, event);
      if (isEnd) {
        return {kind: 'complete'};
      }
      stream.events += 1;
    }
    if (splitter.pendingBytes > MAX_EVENT_BYTES) {
      return cut(stream, 'an event is too large');
    }
  }
  return cut(stream, 'no end mark');
}

async function carryBody(
  stream: AnswerStream,
  data: ResponseData,
  onProgress: () => void,
): Promise<StreamEnd> {
  if (!hasMarkedEnd(data)) {
    return cut(stream, 'the body has neither length nor end mark');
  }
  // The client library fails when a marked body ends early.
  for await (const chunk of data.body as AsyncIterable<Buffer>) {
    onProgress();
    await sendBytes(stream, chunk);
  }
  return {kind: 'complete'};
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

function hasMarkedEnd({headers, statusCode}: ResponseData): boolean {
  return (
    BODILESS_STATUSES.has(statusCode) ||
    headers['content-length'] !== undefined ||
    String(headers['transfer-encoding']).toLowerCase().includes('chunked')
  );
}

/** A caller that has left is sent nothing; its answer may still be kept. */
async function sendBytes(stream: AnswerStream, bytes: Buffer): Promise<void> {
  const {response, kept} = stream;
  kept.push(bytes);
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
