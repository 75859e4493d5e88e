import type {ServerResponse} from 'node:http';

import type {RequestId} from '@gentianshunt/identifiers';
import type {HeldBytes, MemoryGate} from '@gentianshunt/requestBodies';

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

/** The callers that await an answer, by request. */
export interface CallerTable {
  add(caller: Caller): void;
  find(request: RequestId): Caller | undefined;
  remove(request: RequestId): void;
  readonly size: number;
}

/** Creates an empty table; the bodies of its callers are held in a gate. */
export function createCallerTable(gate: MemoryGate): CallerTable {
  const callers = new Map<RequestId, Caller>();
  const held = new Map<RequestId, HeldBytes>();
  return {
    add: caller => {
      callers.set(caller.request, caller);
      held.set(caller.request, gate.addHeld(caller.forwarded.body.length));
    },
    find: request => callers.get(request),
    remove: request => {
      callers.delete(request);
      held.get(request)?.release();
      held.delete(request);
    },
    get size() {
      return callers.size;
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
