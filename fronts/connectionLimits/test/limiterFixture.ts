import {once} from 'node:events';
import type {RequestListener, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import type {Test} from 'tap';

import {createSystemClock} from '@gentianshunt/runtime';

import {createConnectionLimiter} from '../src/index.js';
import type {ConnectionLimiter} from '../src/index.js';

/** A server whose connections are limited. */
export interface LimitedServer {
  readonly limiter: ConnectionLimiter;
  /** Opens a connection that is closed after the test. */
  open(): Socket;
}

/** Starts a server on loopback. */
export async function startLimitedServer(
  t: Test,
  maxAheadBytes: number,
  listener: RequestListener,
  maxConnections?: number,
): Promise<LimitedServer> {
  const limiter = createConnectionLimiter({
    maxAheadBytes,
    clock: createSystemClock(),
  });
  const server = limiter.createServer(listener);
  if (maxConnections !== undefined) {
    server.maxConnections = maxConnections;
  }
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return {
    limiter,
    open: () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      t.teardown(() => socket.destroy());
      return socket;
    },
  };
}

/** Formats a request; a body is sent with a length or in chunks. */
export function formatRequest(
  path: string,
  body = '',
  framing: 'length' | 'chunks' = 'length',
): string {
  const head = `POST ${path} HTTP/1.1\r\nHost: a\r\n`;
  switch (framing) {
    case 'length':
      return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
    case 'chunks': {
      const size = body.length.toString(16);
      return `${head}Transfer-Encoding: chunked\r\n\r\n${size}\r\n${body}\r\n0\r\n\r\n`;
    }
  }
}

/** Reads a connection until its text fulfils a condition or it is closed. */
export function readUntil(
  socket: Socket,
  isDone: (text: string) => boolean,
): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      if (isDone(text)) {
        resolve(text);
      }
    });
    socket.once('close', () => resolve(text));
  });
}

/** Counts the occurrences of a text. */
export function countText(text: string, part: string): number {
  return text.split(part).length - 1;
}

/** Creates a listener that collects the responses that are open. */
export function createCollector() {
  const started: string[] = [];
  const open: ServerResponse[] = [];
  const listener: RequestListener = (request, response) => {
    started.push(request.url!);
    open.push(response);
    request.resume();
  };
  return {started, open, listener};
}
