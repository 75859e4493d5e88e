// Stand-ins for streams: workers whose events name the worker, its software and
// its boot, and clients that take a broken stream up again.
import http from 'node:http';

import {delay, drawId} from './deployment.mjs';
import {createHeartbeats} from './heartbeats.mjs';

/** Starts a worker of streams. It works at the pace of `eventMs`. */
export async function startStreamWorker({
  deployment,
  record,
  id,
  version,
  service = 'llm',
  host = deployment.workerHost,
  slots = 16,
  eventMs = 100,
  events = 40,
  beatMs = 1_200,
}) {
  const worker = {
    id,
    version,
    born: Date.now(),
    sequence: 0,
    isDown: false,
    isClosed: false,
    heldUntil: 0,
    port: 0,
  };
  const sockets = new Set();
  let server;
  const runStream = (request, response) => {
    const attempt = request.headers['x-gentianshunt-attempt-id'] ?? '';
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.resume();
    request.on('end', () => {
      if (request.headers['x-gentianshunt-expect-instance'] !== id) {
        response.writeHead(421, {
          'x-gentianshunt-attempt-id': attempt,
          'x-gentianshunt-not-executed': '1',
          'content-length': 0,
        });
        response.end();
        return;
      }
      const first = Number(request.headers['last-event-id'] ?? 0) + 1;
      const {version: software, born} = worker;
      record.add(
        `worker ${id} (${software}) runs ${attempt} from event ${first}`,
      );
      response.writeHead(200, {
        'x-gentianshunt-attempt-id': attempt,
        'x-gentianshunt-response-seal': `seal.${id}.${born}.${attempt}`,
        'content-type': 'text/event-stream',
      });
      let event = first;
      const timer = setInterval(() => {
        if (event > events) {
          clearInterval(timer);
          response.end();
          return;
        }
        response.write(`id: ${event}\ndata: ${id} ${software} ${born}\n\n`);
        event += 1;
      }, eventMs);
      response.once('close', () => clearInterval(timer));
    });
  };
  const listen = async port => {
    server = http.createServer(runStream);
    server.keepAliveTimeout = 10_000;
    server.on('connection', socket => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(port, host, resolve));
    worker.port = server.address().port;
  };
  await listen(0);
  const sendHeartbeat = createHeartbeats(deployment, id);
  const beat = () => {
    worker.sequence += 1;
    const {port, version: software, sequence, born} = worker;
    const address = `${host}:${port}`;
    return sendHeartbeat({
      service,
      address,
      version: software,
      slots,
      state: 'ready',
      sequence,
      born,
    });
  };
  const beats = (async () => {
    let dueAt = 0;
    while (!worker.isClosed) {
      if (!worker.isDown && Date.now() >= Math.max(dueAt, worker.heldUntil)) {
        dueAt = Date.now() + beatMs;
        await beat();
      }
      await delay(20);
    }
  })();
  const stop = () => {
    server.close();
    sockets.forEach(socket => socket.resetAndDestroy());
  };
  return {
    id,
    get version() {
      return worker.version;
    },
    /** Crashes and starts again at its address and under its id. */
    restart: async ({software, downMs, lateMs = 0}) => {
      worker.isDown = true;
      stop();
      record.add(`worker ${id} (${worker.version}) crashes`);
      await delay(downMs);
      worker.version = software;
      worker.born = Date.now();
      worker.sequence = 0;
      await listen(worker.port);
      worker.heldUntil = Date.now() + lateMs;
      worker.isDown = false;
      record.add(
        `worker ${id} is back as ${software}, its first heartbeat ${lateMs} ms later`,
      );
    },
    close: async () => {
      worker.isClosed = true;
      stop();
      await beats;
    },
  };
}

/** Sends one attempt; ends with the channel, or after a gap without an event. */
function sendAttempt({
  deployment,
  node,
  id,
  from,
  first,
  gapMs,
  timeLimitMs,
  record,
  onEvent,
}) {
  return new Promise(resolve => {
    const headers = {
      host: 'h.example',
      'x-gentianshunt-attempt-id': id,
      'x-gentianshunt-deadline-ms': String(timeLimitMs),
      'x-gentianshunt-model': 'm',
      'x-gentianshunt-token-usage': '100,80',
      'x-gentianshunt-prompt-prefix': `ab:60,${id}:40`,
      authorization: 'Bearer key-1',
      'content-length': '6',
      ...(from > 0 ? {'last-event-id': String(from), resumes: first} : {}),
    };
    let text = '';
    let timer;
    let isEnded = false;
    const end = result => {
      if (!isEnded) {
        isEnded = true;
        clearTimeout(timer);
        request.destroy();
        resolve({status: 0, isWhole: false, retryAfterMs: 0, ...result});
      }
    };
    const wait = () => {
      clearTimeout(timer);
      timer = setTimeout(
        () => end({detail: `no event for ${gapMs} ms`}),
        gapMs,
      );
    };
    const request = http.request(
      {
        host: node.host,
        port: deployment.ports.front,
        method: 'POST',
        path: '/chat/x',
        headers,
        agent: false,
      },
      response => {
        const status = response.statusCode;
        const retryAfterMs =
          1_000 * Number(response.headers['retry-after'] ?? 0);
        let refusal = '';
        response.on('data', chunk => {
          wait();
          refusal += status === 200 ? '' : chunk;
          text += chunk;
          for (
            let at = text.indexOf('\n\n');
            at >= 0;
            at = text.indexOf('\n\n')
          ) {
            const found = /^id: (\d+)\ndata: (\S+) (\S+) (\d+)$/.exec(
              text.slice(0, at),
            );
            text = text.slice(at + 2);
            if (found !== null) {
              onEvent({
                id: Number(found[1]),
                worker: found[2],
                version: found[3],
                born: found[4],
              });
            }
          }
        });
        response.on('end', () =>
          end({
            status,
            retryAfterMs,
            isWhole: response.complete && status === 200,
            ...(status === 200
              ? {}
              : {detail: `${refusal}, retry after ${retryAfterMs} ms`}),
          }),
        );
        response.on('error', error =>
          end({status, retryAfterMs, detail: error.code}),
        );
      },
    );
    request.on('error', error => end({detail: error.code}));
    wait();
    request.end('prompt');
  }).then(result => {
    record.add(
      `attempt ${id} at ${node.name}: status ${result.status}, whole ${result.isWhole}${result.detail === undefined ? '' : `, ${result.detail}`}`,
    );
    return result;
  });
}

/**
 * Runs one client: a stream, taken up again at other machines after a broken
 * channel, a gap or a refusal, a few times within its time limit.
 */
export async function runStreamClient({
  deployment,
  record,
  nodes,
  gapMs = 2_000,
  timeLimitMs = 15_000,
  retries = 3,
}) {
  const startedAt = Date.now();
  const stream = {attempts: [], events: [], isWhole: false};
  let first;
  for (let tries = 0; tries <= retries; tries += 1) {
    const leftMs = timeLimitMs - (Date.now() - startedAt);
    if (leftMs < 100) {
      break;
    }
    const node = nodes[tries % nodes.length];
    const id = drawId();
    const from = stream.events.at(-1)?.id ?? 0;
    const attempt = {node, id, from, at: Date.now(), got: 0, status: 0};
    stream.attempts.push(attempt);
    const result = await sendAttempt({
      deployment,
      node,
      id,
      from,
      first,
      gapMs,
      timeLimitMs: leftMs,
      record,
      onEvent: event => {
        first ??= id;
        attempt.got += 1;
        stream.events.push(event);
      },
    });
    attempt.status = result.status;
    if (result.isWhole) {
      stream.isWhole = true;
      break;
    }
    // Retry-After is honoured up to a third of the time that is left.
    await delay(Math.min(result.retryAfterMs, leftMs / 3));
  }
  return stream;
}

/** A configuration with one route for streams that may be resumed. */
export function createStreamConfig(version, extra = {}) {
  return {
    version,
    routes: [
      {
        name: 'r-chat',
        host: 'h.example',
        path_prefix: '/chat/',
        kind: 'streaming',
        timeout_ms: 15_000,
        target_latency_ms: 400,
        priority: 0,
        service: 'llm',
        max_attempts: 2,
        allow_anonymous: false,
        sticky_sessions: true,
        resumable: true,
        gap_aim_ms: 250,
        ...extra,
      },
    ],
    services: [
      {
        name: 'llm',
        health_path: '/health',
        max_connections: 520,
        protocol: 'h1',
        tls: false,
        engine: {slots: 16, models: [{name: 'm'}]},
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      {
        name: 't-1',
        api_keys: ['key-1'],
        priority: 1,
        unit: 'token_count',
        plain_tokens: 200,
        rate_per_s: 0,
        burst: 0,
      },
    ],
  };
}
