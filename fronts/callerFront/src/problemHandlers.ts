import type {FastifyError, FastifyInstance, FastifyReply} from 'fastify';

import {sendProblem} from './callerTable.js';
import {createBadRequestProblem} from './problem.js';

const SERVER_ERROR = 500;

/** Answers unknown routes and errors raised before a request is admitted. */
export function addProblemHandlers(server: FastifyInstance): void {
  server.setNotFoundHandler((_request, reply) =>
    refuse(reply, 404, 'there is no such route'),
  );
  server.setErrorHandler((error: FastifyError, _request, reply) =>
    refuse(reply, error.statusCode ?? SERVER_ERROR, error.message),
  );
}

function refuse(reply: FastifyReply, status: number, detail: string): void {
  reply.hijack();
  sendProblem(reply.raw, createBadRequestProblem(status, detail));
}
