import type {ServerResponse} from 'node:http';

import type {RequestId} from '@gentianshunt/identifiers';

import {PROBLEM_MEDIA_TYPE} from './problem.js';
import type {ProblemDocument} from './problem.js';

/** How an answer shows that it is whole. */
export type AnswerFraming = 'eventStream' | 'contentLength';

/** A caller's request as the endpoint receives it. */
export interface ForwardedRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly framing: AnswerFraming;
}

/** A caller whose connection is open. */
export interface Caller {
  readonly request: RequestId;
  readonly forwarded: ForwardedRequest;
  readonly response: ServerResponse;
}

/** The callers that await an answer. */
export interface CallerTable {
  add(caller: Caller): void;
  find(request: RequestId): Caller | undefined;
  remove(request: RequestId): void;
  readonly size: number;
}

/** Creates an empty table. */
export function createCallerTable(): CallerTable {
  const callers = new Map<RequestId, Caller>();
  return {
    add: caller => callers.set(caller.request, caller),
    find: request => callers.get(request),
    remove: request => callers.delete(request),
    get size() {
      return callers.size;
    },
  };
}

/** Ends a caller's response with a problem document, if it is still open. */
export function sendProblem(
  response: ServerResponse,
  problem: ProblemDocument,
): void {
  if (response.writableEnded || response.destroyed) {
    return;
  }
  const body = JSON.stringify(problem);
  if (response.headersSent) {
    // The answer has begun: an error event and no end mark tell the caller.
    response.write(`event: error\ndata: ${body}\n\n`, () => response.destroy());
    return;
  }
  response.statusCode = problem.status;
  response.setHeader('content-type', PROBLEM_MEDIA_TYPE);
  if (problem.retryAfterMs !== null) {
    const seconds = Math.ceil(problem.retryAfterMs / 1_000);
    response.setHeader('retry-after', String(seconds));
  }
  response.end(body);
}
