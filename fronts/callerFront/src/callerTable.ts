import type {ServerResponse} from 'node:http';

import type {RequestId} from '@gentianshunt/identifiers';

import {abandonAnswer} from './abandonAnswer.js';
import {PROBLEM_MEDIA_TYPE} from './problem.js';
import type {ProblemDocument} from './problem.js';

/** How the end of an answer is recognised: by an end mark or by its length. */
export type AnswerFraming = 'eventStream' | 'contentLength';

/** A caller's request as the endpoint receives it. */
export interface ForwardedRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly framing: AnswerFraming;
}

/** A caller that is connected and awaits an answer. */
export interface Caller {
  readonly request: RequestId;
  readonly forwarded: ForwardedRequest;
  readonly response: ServerResponse;
}

/** Bytes held for callers. */
export interface HeldBytes {
  readonly requestBodyBytes: number;
  readonly answerBytes: number;
}

/** The callers that await an answer, by request. */
export interface CallerTable {
  add(caller: Caller): void;
  find(request: RequestId): Caller | undefined;
  remove(request: RequestId): void;
  /** Sums the bytes of request bodies and of unread parts of answers. */
  measure(): HeldBytes;
  /** Registers a listener that is called after every removal. */
  onRemoved(listener: () => void): void;
  readonly size: number;
  /** Total size of the request bodies of all callers. */
  readonly bufferedBytes: number;
}

/** Creates an empty table. */
export function createCallerTable(): CallerTable {
  const callers = new Map<RequestId, Caller>();
  const listeners: (() => void)[] = [];
  let bufferedBytes = 0;
  return {
    add: caller => {
      callers.set(caller.request, caller);
      bufferedBytes += caller.forwarded.body.length;
    },
    find: request => callers.get(request),
    remove: request => {
      const caller = callers.get(request);
      if (caller !== undefined) {
        callers.delete(request);
        bufferedBytes -= caller.forwarded.body.length;
        listeners.forEach(listener => listener());
      }
    },
    measure: () => ({
      requestBodyBytes: bufferedBytes,
      answerBytes: [...callers.values()].reduce(
        (sum, {response}) => sum + response.writableLength,
        0,
      ),
    }),
    onRemoved: listener => {
      listeners.push(listener);
    },
    get size() {
      return callers.size;
    },
    get bufferedBytes() {
      return bufferedBytes;
    },
  };
}

/** Ends a caller's response with a problem document if it is still open. */
export function sendProblem(
  response: ServerResponse,
  problem: ProblemDocument,
): void {
  if (response.writableEnded || response.destroyed) {
    return;
  }
  const body = JSON.stringify(problem);
  if (response.headersSent) {
    endStartedAnswer(response, body);
    return;
  }
  response.removeHeader('content-length');
  response.statusCode = problem.status;
  response.setHeader('content-type', PROBLEM_MEDIA_TYPE);
  if (problem.retryAfterMs !== null) {
    const seconds = Math.ceil(problem.retryAfterMs / 1_000);
    response.setHeader('retry-after', String(seconds));
  }
  response.end(body);
}

/**
 * Ends an answer whose head has been sent. The caller recognises the failure by
 * an error event or, outside event streams, by a truncated body.
 */
function endStartedAnswer(response: ServerResponse, problem: string): void {
  const contentType = String(response.getHeader('content-type'));
  if (contentType.startsWith('text/event-stream')) {
    response.write(`event: error\ndata: ${problem}\n\n`, () =>
      abandonAnswer(response),
    );
    return;
  }
  abandonAnswer(response);
}
