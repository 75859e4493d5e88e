/** Keeps the wait of connections that are not accepted yet short. */
import {Server} from 'node:net';

import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {NetworkAddress} from '@gentianshunt/messages';
import {
  decideAcceptQueue,
  isShortAcceptWait,
  MAX_ACCEPT_QUEUE,
} from '@gentianshunt/policy';

import {createAcceptMonitor} from './acceptMonitor.js';

/** A wait of connections, and what was decided. */
export interface AcceptDelay {
  readonly waitMs: Milliseconds;
  /** Connections that may wait, before and now. */
  readonly lengthBefore: number;
  readonly length: number;
}

/** Time after which a listener that could not be opened again is tried once more. */
const REOPEN_DELAY_MS: Milliseconds = 100;

/** Options of the queue of a listener. */
export interface AcceptQueueOptions {
  /** It listens at the address with a queue of `MAX_ACCEPT_QUEUE`. */
  readonly server: Server;
  readonly address: NetworkAddress;
  readonly clock: Clock;
  readonly onSample: (waitMs: Milliseconds) => void;
  /** Called with waits that are not short, and when the length changes. */
  readonly onDelayed: (delay: AcceptDelay) => void;
}

/** Measures the wait for acceptance, and adapts the length of the queue to it. */
export function createAcceptQueue(options: AcceptQueueOptions): void {
  const {server, address, clock, onSample, onDelayed} = options;
  let length = MAX_ACCEPT_QUEUE;
  let shortSince: MonotonicTime = clock.readMonotonic();
  let previousMs: Milliseconds = 0;
  let isReopening = false;
  const reopen = (): void => {
    isReopening = true;
    // The method of HTTP servers would close idle connections as well. Clients in
    // the queue are reset, and go elsewhere at once.
    Server.prototype.close.call(server);
    const {host, port} = address;
    server.listen({host, port, backlog: length});
  };
  server.on('listening', () => {
    isReopening = false;
  });
  server.on('error', () => {
    if (isReopening) {
      setTimeout(reopen, REOPEN_DELAY_MS);
    }
  });
  createAcceptMonitor({
    server,
    clock,
    onSample: waitMs => {
      onSample(waitMs);
      if (!server.listening) {
        return;
      }
      const now = clock.readMonotonic();
      const isShort = isShortAcceptWait(waitMs);
      shortSince = isShort ? shortSince : now;
      const lengthBefore = length;
      const shortForMs = now - shortSince;
      length = decideAcceptQueue({
        length,
        waitMs: Math.min(waitMs, previousMs),
        shortForMs,
      });
      previousMs = waitMs;
      if (length !== lengthBefore) {
        shortSince = now;
        reopen();
      }
      if (!isShort || length !== lengthBefore) {
        onDelayed({waitMs, lengthBefore, length});
      }
    },
  });
}
