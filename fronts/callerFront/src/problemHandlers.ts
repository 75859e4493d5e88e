import type {FastifyError, FastifyInstance} from 'fastify';

import {createBadRequestProblem, PROBLEM_MEDIA_TYPE} from './problem.js';

const SERVER_ERROR = 500;

/** Answers what no route takes, and what breaks before it is admitted. */
export function addProblemHandlers(server: FastifyInstance): void {
  server.setNotFoundHandler((_request, reply) =>
    reply
      .code(404)
      .type(PROBLEM_MEDIA_TYPE)
      .send(createBadRequestProblem(404, 'there is no such route')),
  );
  server.setErrorHandler((error: FastifyError, _request, reply) => {
    const status = error.statusCode ?? SERVER_ERROR;
    return reply
      .code(status)
      .type(PROBLEM_MEDIA_TYPE)
      .send(createBadRequestProblem(status, error.message));
  });
}
