import {assertNever, SchedulerError} from '@gentianshunt/errors';
import type {FastifyInstance, FastifyRequest} from 'fastify';

import {readRequestBody} from './readRequestBody.js';
import type {ReadOptions, ReceivedBody} from './readRequestBody.js';

/**
 * Makes a server read all bodies within a memory account. Handlers find a
 * `ReceivedBody` in `request.body`.
 */
export function addBodyParser(
  server: FastifyInstance,
  findOptions: (request: FastifyRequest) => ReadOptions,
): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', (request, _payload, done) => {
    readRequestBody(request.raw, findOptions(request), received =>
      done(null, received),
    );
  });
}

/** Thrown when a body is not read; it carries the status of the response. */
export class BodyNotReadError extends SchedulerError {
  readonly statusCode: number;

  constructor(cause: Exclude<ReceivedBody['kind'], 'received'>, peer: string) {
    super({
      code: 'ERR_BODY_NOT_READ',
      message: `the body was not read: ${cause}`,
      origin: {step: 'readRequestBody', peer},
      hint: 'repeat the request if the status is 503',
    });
    this.statusCode = pickStatus(cause);
  }
}

/** Makes a server read bodies likewise; handlers find a buffer instead. */
export function addBufferParser(
  server: FastifyInstance,
  findOptions: (request: FastifyRequest) => ReadOptions,
): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', (request, _payload, done) => {
    readRequestBody(request.raw, findOptions(request), received => {
      if (received.kind !== 'received') {
        done(new BodyNotReadError(received.kind, request.ip));
        return;
      }
      const {body} = received;
      const bytes = body.toBuffer();
      body.release();
      done(null, bytes);
    });
  });
}

function pickStatus(cause: Exclude<ReceivedBody['kind'], 'received'>): number {
  switch (cause) {
    case 'memoryFull':
      return 503;
    case 'tooLarge':
      return 413;
    case 'tooSlow':
      return 408;
    default:
      return assertNever(cause, 'pickStatus');
  }
}

/** Returns the body that a handler was given; `undefined` without one. */
export function findReceivedBody(
  request: FastifyRequest,
): ReceivedBody | undefined {
  return request.body as ReceivedBody | undefined;
}
