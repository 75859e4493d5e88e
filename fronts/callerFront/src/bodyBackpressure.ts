import type {FastifyInstance} from 'fastify';

import type {CallerTable} from './callerTable.js';

/** Options of the backpressure on request bodies. */
export interface BodyBackpressureOptions {
  readonly server: FastifyInstance;
  readonly callers: CallerTable;
  /** Bytes of request bodies in memory at which reading further ones stops. */
  readonly maxBufferedBytes: number;
}

/**
 * Pauses new requests before their bodies are read while the bodies in memory
 * have reached `maxBufferedBytes`. Paused requests are not refused; their
 * unread bodies slow down the senders through TCP flow control.
 */
export function addBodyBackpressure(options: BodyBackpressureOptions): void {
  const {server, callers, maxBufferedBytes} = options;
  const paused: (() => void)[] = [];
  const resumeOne = (): void => {
    if (callers.bufferedBytes < maxBufferedBytes) {
      paused.shift()?.();
    }
  };
  callers.onRemoved(resumeOne);
  server.addHook('onRequest', (request, _reply, done) => {
    const hasBody = request.method === 'POST';
    const isFull = callers.bufferedBytes >= maxBufferedBytes;
    if (!hasBody || !isFull || isExemptRoute(request.url)) {
      done();
      return;
    }
    paused.push(done);
    request.raw.once('close', () => {
      const position = paused.indexOf(done);
      if (position >= 0) {
        paused.splice(position, 1);
      }
    });
  });
}

/** Announcements and commands are small and must never be paused. */
function isExemptRoute(url: string): boolean {
  return url.startsWith('/v1/endpoints/') || url.startsWith('/v1/operator/');
}
