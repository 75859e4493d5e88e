/** Limits what the connections of a process's HTTP servers hold. */
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock} from '@gentianshunt/clock';

import {limitConnection} from './limitConnection.js';
import type {ConnectionContext, LimitedConnection} from './limitConnection.js';
import {createTurnQueue} from './turnQueue.js';

/** Options of the limiter of a process. */
export interface ConnectionLimiterOptions {
  /** Most bytes of requests that were sent ahead, over all connections. */
  readonly maxAheadBytes: number;
  readonly clock: Clock;
}

/** Limits the connections of all servers of a process together. */
export interface ConnectionLimiter {
  /** Creates a server that hands over one request a connection at a time. */
  createServer(listener: RequestListener): Server;
  /** Connections closed because of a limit since the start. */
  readonly closedCount: number;
  /** Bytes of requests that were sent ahead. */
  readonly heldBytes: number;
}

/** Connections of a server's limit that are kept free by closing idle ones. */
const SPARE_CONNECTIONS = 8;
/** Interval at which unread answers are looked for, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Creates the limiter of a process. */
export function createConnectionLimiter({
  maxAheadBytes,
  clock,
}: ConnectionLimiterOptions): ConnectionLimiter {
  const connections = new Map<Socket, LimitedConnection>();
  let heldBytes = 0;
  let closedCount = 0;
  const shared: Omit<ConnectionContext, 'serve'> = {
    clock,
    turns: createTurnQueue(),
    account: {
      maxBytes: maxAheadBytes,
      get heldBytes() {
        return heldBytes;
      },
      add: bytes => {
        heldBytes += bytes;
      },
    },
    onClosed: () => {
      closedCount += 1;
    },
  };
  setInterval(
    () => connections.forEach(connection => connection.checkReading()),
    CHECK_INTERVAL_MS,
  ).unref();
  return {
    createServer: listener => {
      const server = createServer((request, response) =>
        connections.get(request.socket)?.receive({request, response}),
      );
      const serve: ConnectionContext['serve'] = ({request, response}) =>
        listener(request, response);
      const own = new Set<Socket>();
      const closeLongestIdle = (): void => {
        const idle = findLongestIdle(own, connections);
        if (idle !== undefined) {
          closedCount += 1;
          idle.destroy();
        }
      };
      server.on('connection', socket => {
        // Clients may hold connections without a request, as many as they like.
        if (own.size >= server.maxConnections - SPARE_CONNECTIONS) {
          closeLongestIdle();
        }
        own.add(socket);
        connections.set(socket, limitConnection(socket, {...shared, serve}));
        socket.once('close', () => {
          own.delete(socket);
          connections.delete(socket);
        });
      });
      return server;
    },
    get closedCount() {
      return closedCount;
    },
    get heldBytes() {
      return heldBytes;
    },
  };
}

/** Finds the connection that has had no request for the longest time. */
function findLongestIdle(
  sockets: Iterable<Socket>,
  connections: ReadonlyMap<Socket, LimitedConnection>,
): Socket | undefined {
  let found: Socket | undefined;
  let since = Number.POSITIVE_INFINITY;
  for (const socket of sockets) {
    const idleSince = connections.get(socket)?.idleSince ?? null;
    if (idleSince !== null && idleSince < since) {
      found = socket;
      since = idleSince;
    }
  }
  return found;
}
