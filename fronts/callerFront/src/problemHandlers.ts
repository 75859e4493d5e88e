import {BodyNotReadError} from '@gentianshunt/requestBodies';
import type {FastifyError, FastifyInstance, FastifyReply} from 'fastify';

import {sendProblem} from './callerTable.js';
import {createBadRequestProblem} from './problem.js';

const SERVER_ERROR = 500;
const UNAVAILABLE = 503;
/** Retry time sent when there is no memory for a body. */
const RETRY_AFTER_MS = 1_000;

/** Answers unknown routes and errors raised before a request is admitted. */
export function addProblemHandlers(server: FastifyInstance): void {
  server.setNotFoundHandler((_request, reply) =>
    refuse(reply, 404, 'there is no such route'),
  );
  server.setErrorHandler((error: FastifyError, _request, reply) => {
    const status = error.statusCode ?? SERVER_ERROR;
    const canRetry =
      error instanceof BodyNotReadError && status === UNAVAILABLE;
    refuse(reply, status, error.message, canRetry ? RETRY_AFTER_MS : null);
  });
}

function refuse(
  reply: FastifyReply,
  status: number,
  detail: string,
  retryAfterMs: number | null = null,
): void {
  reply.hijack();
  const problem = createBadRequestProblem(status, detail);
  sendProblem(reply.raw, {...problem, retryAfterMs});
}
