import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';

import {startRawWorker} from '../lib/rawWorker.mjs';
import {createRecord} from '../lib/record.mjs';
import {
  call,
  putConfig,
  sleep,
  startSystem,
  waitReady,
} from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'xano55b';
const KEY = 'i9n73hh2b9wu3fexd9dn';
const HOST = 'ficu95.example';
const WORK_MS = 30;
const WORKERS = 4;
const BODY = `certificate ${'0123456789'.repeat(78)} end`;
/** The workers, half of all, that send some answers without a length. */
const FAULTY_WORKERS = new Set(['i-1', 'i-2']);
/** Share of their answers that these workers send without a length. */
const UNFRAMED_SHARE = 0.05;
/** Share of these answers that are broken off by a reset. */
const RESET_SHARE = 0.4;
/** Lengths of both disturbances, and the time from one start to the next. */
const UNFRAMED_MS = 5_000;
const RESETS_MS = 4_000;
const CYCLE_MS = 7_000;
const LENGTH_MS = 5 * CYCLE_MS;
const CLIENTS_PER_MACHINE = 4;

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));

const DOCUMENT = {
  version: 7,
  routes: [
    {
      name: 'r-8m82thh',
      host: HOST,
      path_prefix: '/puxa403/',
      kind: 'unsafe',
      timeout_ms: 1200,
      target_latency_ms: 150,
      priority: 2,
      service: SERVICE,
      max_attempts: 1,
      allow_anonymous: false,
    },
  ],
  services: [
    {
      name: SERVICE,
      health_path: '/health',
      max_connections: 130,
      protocol: 'h1',
      tls: false,
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
      name: 'hule930',
      api_keys: [KEY],
      priority: 1,
      unit: 'token_count',
      plain_tokens: 200,
      rate_per_s: 760210,
      burst: 760210,
    },
  ],
};

const counts = {answers: 0, unframed: 0, cut: 0};
/** Requests whose answer the worker broke off. */
const broken = new Set();

let startedAt = Number.POSITIVE_INFINITY;

/** Returns whether a disturbance of this length is on. */
function isWithin(lengthMs) {
  const passedMs = Date.now() - startedAt;
  return passedMs >= 0 && passedMs % CYCLE_MS < lengthMs;
}

function serve(worker, channel, {headers}) {
  const id = headers.get('x-gentianshunt-attempt-id');
  if (headers.get('x-gentianshunt-expect-instance') !== worker) {
    channel.write(
      `HTTP/1.1 421 Misdirected Request\r\nX-Gentianshunt-Instance-Id: ${worker}\r\nContent-Length: 0\r\n\r\n`,
    );
    channel.next();
    return;
  }
  const proof = `X-Gentianshunt-Attempt-Id: ${id}\r\nX-Gentianshunt-Response-Seal: stand-in\r\n`;
  const isFaulty = FAULTY_WORKERS.has(worker) && isWithin(UNFRAMED_MS);
  counts.answers += isFaulty ? 1 : 0;
  const isUnframed =
    isFaulty && counts.unframed + 1 <= UNFRAMED_SHARE * counts.answers;
  counts.unframed += isUnframed ? 1 : 0;
  setTimeout(() => {
    if (!isUnframed) {
      channel.write(
        `HTTP/1.1 200 OK\r\n${proof}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
      );
      channel.next();
      return;
    }
    const head = `HTTP/1.1 200 OK\r\n${proof}Connection: close\r\n\r\n`;
    if (HAS_TROUBLE && isWithin(RESETS_MS) && Math.random() < RESET_SHARE) {
      counts.cut += 1;
      broken.add(id);
      record.write(
        `worker ${worker}: ${id} broken off by a reset after ${BODY.length >> 1} of ${BODY.length} bytes`,
      );
      channel.socket.write(head + BODY.slice(0, BODY.length >> 1), () =>
        channel.socket.resetAndDestroy(),
      );
      return;
    }
    record.write(`worker ${worker}: ${id} answered without a length`);
    channel.socket.end(head + BODY);
  }, WORK_MS);
}

const results = new Map();

async function runClient(machine, index, isOver) {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let count = 0; !isOver(); count += 1) {
    const id = `${machine.index}-${index}-${count}`;
    try {
      const answer = await call({
        url: `${machine.url('front')}/puxa403/2f`,
        method: 'POST',
        headers: {
          Host: HOST,
          'X-Gentianshunt-Attempt-Id': id,
          'X-Gentianshunt-Deadline-Ms': '2500',
          Authorization: `Bearer ${KEY}`,
          'Content-Length': 6,
        },
        body: 'credit',
        agent,
        timeoutMs: 2500,
      });
      results.set(id, answer);
    } catch (error) {
      results.set(id, {status: error.message});
    }
    await sleep(20);
  }
  agent.destroy();
}

async function run() {
  const system = await startSystem({core: 3, plain: 3, log: record.write});
  const workers = [];
  try {
    const {machines, network} = system;
    await waitReady(machines);
    await putConfig(machines, DOCUMENT);
    const controls = machines.map(machine => machine.url('control'));
    for (let index = 1; index <= WORKERS; index += 1) {
      const id = `i-${index}`;
      workers.push(
        await startRawWorker({
          host: `${network}.9.${index}`,
          id,
          service: SERVICE,
          controls,
          onRequest: (channel, request) => serve(id, channel, request),
        }),
      );
    }
    await sleep(1_500);
    let isOver = false;
    const clients = machines.flatMap(machine =>
      Array.from({length: CLIENTS_PER_MACHINE}, (_, index) =>
        runClient(machine, index, () => isOver),
      ),
    );
    startedAt = Date.now();
    await sleep(LENGTH_MS);
    isOver = true;
    await Promise.all(clients);
    let mixed = 0;
    for (const [id, {status, body, isComplete, headers}] of results) {
      if (broken.has(id)) {
        record.write(
          `client: ${id} (broken off at the worker) got ${status}, ${body?.length} bytes, ${isComplete ? 'framed as complete' : 'cut'}`,
        );
      }
      if (status === 200 && isComplete && body.toString() !== BODY) {
        mixed += 1;
        record.write(
          `BROKEN (MIXED): ${id} got 200 with ${body.length} of ${BODY.length} bytes, framed as complete, seal ${headers['x-gentianshunt-response-seal']}`,
        );
      }
    }
    const served = [...results.values()].filter(
      ({status, body}) => status === 200 && body.toString() === BODY,
    ).length;
    record.write(
      `served whole ${served} of ${results.size}; answers without a length ${counts.unframed}, of these broken off by a reset ${counts.cut}; passed on as complete though broken off: ${mixed}`,
    );
    if (served < 100) {
      throw new Error('too little was served');
    }
    return mixed > 0 ? 1 : 0;
  } finally {
    await Promise.all(workers.map(worker => worker.close()));
    await system.close();
  }
}

run()
  .catch(error => {
    record.write(`could not run: ${error.stack}`);
    return 2;
  })
  .then(code => {
    record.write(`exit code ${code}`);
    record.save();
    process.exit(code);
  });
