import type {FastifyInstance} from 'fastify';

import type {CallerTable} from './callerTable.js';

/** What the gate needs. */
export interface IntakeGateOptions {
  readonly server: FastifyInstance;
  readonly callers: CallerTable;
  /** Bytes of held request bodies at which reading stops. */
  readonly maxHeldBytes: number;
}

/**
 * Leaves the bodies of new requests unread in the network while the held ones
 * fill the memory set aside for them. Nobody is refused.
 */
export function createIntakeGate(options: IntakeGateOptions): void {
  const {server, callers, maxHeldBytes} = options;
  const paused: (() => void)[] = [];
  const resumeOne = (): void => {
    if (callers.heldBytes < maxHeldBytes) {
      paused.shift()?.();
    }
  };
  callers.onRemoved(resumeOne);
  server.addHook('onRequest', (request, _reply, done) => {
    const holdsBody = request.method === 'POST';
    const isFull = callers.heldBytes >= maxHeldBytes;
    if (!holdsBody || !isFull || isEndpointRoute(request.url)) {
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

/** Announcements and commands are small and must get through. */
function isEndpointRoute(url: string): boolean {
  return url.startsWith('/v1/endpoints/') || url.startsWith('/v1/operator/');
}
