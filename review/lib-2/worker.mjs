// A stand-in for a worker: heartbeats, and answers that a test decides on.
import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {createHeartbeats} from './heartbeats.mjs';

/**
 * Starts a worker on a port of its own. `answer` gets a request whose body is
 * read and decides on its answer.
 */
export async function startWorker({
  deployment,
  record,
  id,
  service,
  host = deployment.workerHost,
  slots = 8,
  version = 'v1',
  answer,
  beatMs = 1_200,
  onRun = () => undefined,
}) {
  const runs = [];
  const server = http.createServer((request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const attempt = request.headers['x-gentianshunt-attempt-id'] ?? '';
      const expected = request.headers['x-gentianshunt-expect-instance'];
      if (expected !== undefined && expected !== id) {
        record.add(`worker ${id} answers 421 to ${attempt}`);
        response.writeHead(421, {
          'x-gentianshunt-attempt-id': attempt,
          'x-gentianshunt-not-executed': '1',
          'content-length': 0,
        });
        response.end();
        return;
      }
      const run = {
        attempt,
        at: Date.now(),
        method: request.method,
        url: request.url,
        headers: request.headers,
        body: Buffer.concat(chunks),
        request,
        response,
        worker: id,
      };
      runs.push(run);
      record.add(
        `worker ${id} runs ${attempt}: ${request.method} ${request.url}`,
      );
      onRun(run);
      answer(run);
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise(resolve => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;
  const born = Date.now();
  let sequence = 0;
  let state = 'ready';
  let isStopped = false;
  const sendHeartbeat = createHeartbeats(deployment, id);
  const beat = () => {
    sequence += 1;
    return sendHeartbeat({
      service,
      address,
      version,
      slots,
      state,
      sequence,
      born,
    });
  };
  const loop = (async () => {
    while (!isStopped) {
      await beat();
      await delay(beatMs);
    }
  })();
  return {
    id,
    address,
    runs,
    setState: next => {
      state = next;
      return beat();
    },
    /** Ends without a word, as a crash does. */
    close: async () => {
      isStopped = true;
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
      await loop;
    },
  };
}

/** Answers as a sound worker. */
export function answerWhole(run, body, headers = {}) {
  run.response.writeHead(200, {
    'x-gentianshunt-attempt-id': run.attempt,
    'x-gentianshunt-response-seal': `seal.${run.worker}.${run.attempt}`,
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  run.response.end(body);
}
