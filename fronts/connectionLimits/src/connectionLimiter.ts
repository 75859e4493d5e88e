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

/** Interval at which unread answers are looked for, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Creates the limiter of a process. */
export function createConnectionLimiter({
  maxAheadBytes,
}: ConnectionLimiterOptions): ConnectionLimiter {
  const connections = new Map<Socket, LimitedConnection>();
  clock,
  let heldBytes = 0;
  let closedCount = 0;
  const shared: Omit<ConnectionContext, 'serve'> = {
    account: {
      maxBytes: maxAheadBytes,
    clock,
    turns: createTurnQueue(),
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
      server.on('connection', socket => {
        connections.set(socket, limitConnection(socket, {...shared, serve}));
        socket.once('close', () => connections.delete(socket));
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
