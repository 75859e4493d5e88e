/**
 * A worker on plain sockets. It serves one request at a time on a channel, and a
 * case decides what is written, also after an answer.
 */
import {createServer} from 'node:net';

import {call} from './system.mjs';

/**
 * Starts the worker. `onRequest(channel, request)` is called with each request;
 * `channel.write(bytes)` writes, `channel.next()` lets the next one be read.
 */
export async function startRawWorker({
  host,
  id,
  service,
  zone = 'nl-west-a',
  slots = 6,
  controls,
  onRequest,
  heartbeatMs = 1200,
}) {
  const state = {
    id,
    service,
    host,
    port: 0,
    sequence: 0,
    born: Date.now(),
    target: undefined,
    channels: new Set(),
    canBeat: true,
  };
  const server = createServer(socket => {
    socket.setNoDelay(true);
    const channel = {
      socket,
      data: {},
      isBusy: false,
      isClosed: false,
      write: bytes => !channel.isClosed && socket.write(bytes),
      next: () => {},
    };
    state.channels.add(channel);
    let buffer = Buffer.alloc(0);
    const readNext = () => {
      if (channel.isBusy || channel.isClosed) {
        return;
      }
      const request = parseRequest(buffer);
      if (request === undefined) {
        return;
      }
      buffer = buffer.subarray(request.length);
      channel.isBusy = true;
      onRequest(channel, request);
    };
    channel.next = () => {
      channel.isBusy = false;
      setImmediate(readNext);
    };
    socket.on('data', chunk => {
      buffer = Buffer.concat([buffer, chunk]);
      readNext();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      channel.isClosed = true;
      state.channels.delete(channel);
      channel.onClosed?.();
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  state.port = server.address().port;
  let turn = Math.floor(Math.random() * controls.length);
  const beat = async () => {
    if (!state.canBeat) {
      return;
    }
    state.sequence += 1;
    const body = JSON.stringify({
      service,
      address: `${host}:${state.port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_left_ms: 0,
      sequence: state.sequence,
      born: state.born,
    });
    for (let tries = 0; tries < 3; tries += 1) {
      const url = state.target ?? controls[turn++ % controls.length];
      try {
        const answered = await call({
          url: `${url}/v1/instances/${id}`,
          method: 'PUT',
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          },
          body,
          timeoutMs: 1000,
        });
        if (answered.status >= 200 && answered.status < 300) {
          const {heartbeat_address: named} = JSON.parse(
            answered.body.toString() || '{}',
          );
          state.target = named ? `http://${named}` : state.target;
          return;
        }
      } catch {
        // The next daemon is called.
      }
      state.target = undefined;
    }
  };
  const timer = setInterval(() => void beat(), heartbeatMs);
  await beat();
  return {
    state,
    close: async () => {
      clearInterval(timer);
      for (const {socket} of state.channels) {
        socket.destroy();
      }
      await new Promise(resolve => server.close(resolve));
    },
  };
}

/** Parses one request; `undefined` while it is not complete. */
function parseRequest(buffer) {
  const end = buffer.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [line, ...fields] = buffer
    .subarray(0, end)
    .toString('latin1')
    .split('\r\n');
  const headers = new Map(
    fields.map(field => {
      const colon = field.indexOf(':');
      return [
        field.slice(0, colon).toLowerCase(),
        field.slice(colon + 1).trim(),
      ];
    }),
  );
  const bodyLength = Number(headers.get('content-length') ?? 0);
  const length = end + 4 + bodyLength;
  if (buffer.length < length) {
    return undefined;
  }
  const [method, url] = line.split(' ');
  return {method, url, headers, body: buffer.subarray(end + 4, length), length};
}

/** Formats an answer with a length. */
export function formatAnswer(status, reason, headers, body = '') {
  const lines = Object.entries({
    ...headers,
    'Content-Length': Buffer.byteLength(body),
  }).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status} ${reason}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}
