/** A worker of the platform that announces itself and serves requests. */
import {createServer} from 'node:http';

import {call} from './system.mjs';

/**
 * Starts a sound worker. `answer(request, response, body)` may answer in another
 * way than with a short body at once.
 */
export async function startWorker({
  host,
  id,
  service,
  zone = 'nl-west-a',
  slots = 6,
  controls,
  record,
  answer,
  workMs = 20,
  heartbeatMs = 1200,
}) {
  const state = {
    id,
    service,
    host,
    port: 0,
    sequence: 0,
    state: 'ready',
    born: Date.now(),
    target: undefined,
    runs: [],
    leaderUrl: undefined,
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('error', () => {});
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      const attempt = request.headers['x-gentianshunt-attempt-id'];
      if (request.headers['x-gentianshunt-expect-instance'] !== id) {
        response.writeHead(421, {'X-Gentianshunt-Instance-Id': id});
        response.end();
        return;
      }
      const run = {
        attempt,
        at: Date.now(),
        method: request.method,
        url: request.url,
        headers: request.headers,
        body,
      };
      state.runs.push(run);
      record?.(`worker ${id} runs ${attempt}`);
      if (answer !== undefined) {
        answer(request, response, run);
        return;
      }
      setTimeout(() => {
        response.writeHead(200, {
          'X-Gentianshunt-Attempt-Id': attempt,
          'X-Gentianshunt-Response-Seal': 'stand-in',
          'Content-Length': 4,
        });
        response.end('done');
      }, workMs);
    });
  });
  server.keepAliveTimeout = 15_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  state.port = server.address().port;
  let turn = Math.floor(Math.random() * controls.length);
  const formatBeat = () => {
    state.sequence += 1;
    return JSON.stringify({
      service,
      address: `${host}:${state.port}`,
      zone,
      version: 'v1',
      slots,
      state: state.state,
      cold_left_ms: 0,
      sequence: state.sequence,
      born: state.born,
    });
  };
  const send = (url, method, body) =>
    call({
      url: `${url}/v1/instances/${id}`,
      method,
      headers:
        body === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(body),
            },
      body,
      timeoutMs: 1000,
    });
  /** Sends a heartbeat to the named address, else to the next daemon. */
  const beat = async () => {
    const body = formatBeat();
    for (let tries = 0; tries < 3; tries += 1) {
      const url = state.target ?? controls[turn++ % controls.length];
      try {
        const answered = await send(url, 'PUT', body);
        if (answered.status >= 200 && answered.status < 300) {
          const {heartbeat_address: named} = JSON.parse(
            answered.body.toString() || '{}',
          );
          if (named) {
            state.target = `http://${named}`;
          }
          return url;
        }
      } catch {
        // The next daemon is called.
      }
      state.target = undefined;
    }
    return undefined;
  };
  const timer = setInterval(() => void beat(), heartbeatMs);
  await beat();
  return {
    state,
    beat,
    formatBeat,
    /** Says that the worker is gone; returns the daemon that acknowledged it. */
    leave: async url => {
      clearInterval(timer);
      const answered = await send(url, 'DELETE');
      return answered.status;
    },
    stopBeats: () => clearInterval(timer),
    close: async () => {
      clearInterval(timer);
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
