import {assertNever, SchedulerError} from '@gentianshunt/errors';
import type {FastifyInstance, FastifyRequest} from 'fastify';

import {readRequestBody} from './readRequestBody.js';
import type {ReadOptions, ReceivedBody} from './readRequestBody.js';
import type {RequestBody} from './requestBody.js';

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

/** Why a body is not read. */
export type UnreadCause = Exclude<ReceivedBody['kind'], 'received'>;

/** Thrown when a body is not read; it carries the status of the response. */
export class BodyNotReadError extends SchedulerError {
  readonly statusCode: number;

  constructor(
    readonly reason: UnreadCause,
    peer: string,
    /** Largest body that is read, in bytes. */
    readonly maxBytes: number,
  ) {
    super({
      code: 'ERR_BODY_NOT_READ',
      message: `the body was not read: ${reason}`,
      origin: {step: 'readRequestBody', peer},
      hint: 'repeat the request if the status is 503',
    });
    this.statusCode = pickStatus(reason);
  }
}

/** Until when the memory of a body that a handler gets is reserved. */
export type BodyHold = 'untilRead' | 'untilAnswered';

/** Makes a server read bodies likewise; handlers find a buffer instead. */
export function addBufferParser(
  server: FastifyInstance,
  findOptions: (request: FastifyRequest) => ReadOptions,
  hold: BodyHold = 'untilRead',
): void {
  const kept = new WeakMap<FastifyRequest, RequestBody>();
  server.addHook('onRequest', (request, reply, done) => {
    reply.raw.once('close', () => kept.get(request)?.release());
    done();
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', (request, _payload, done) => {
    const options = findOptions(request);
    readRequestBody(request.raw, options, received => {
      if (received.kind !== 'received') {
        const {kind} = received;
        done(new BodyNotReadError(kind, request.ip, options.maxBytes));
        return;
      }
      const {body} = received;
      const bytes = body.takeBuffer();
      switch (hold) {
        case 'untilRead':
          body.release();
          break;
        case 'untilAnswered':
          kept.set(request, body);
          break;
        default:
          assertNever(hold, 'addBufferParser');
      }
      done(null, bytes);
    });
  });
}

function pickStatus(reason: UnreadCause): number {
  switch (reason) {
    case 'memoryFull':
      return 503;
    case 'tooLarge':
      return 413;
    case 'tooSlow':
      return 408;
    case 'tooFragmented':
      return 400;
    default:
      return assertNever(reason, 'pickStatus');
  }
}

/** Returns the body that a handler was given; `undefined` without one. */
export function findReceivedBody(
  request: FastifyRequest,
): ReceivedBody | undefined {
  return request.body as ReceivedBody | undefined;
}
