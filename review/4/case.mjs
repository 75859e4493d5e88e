import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';

import {startRawWorker} from '../lib/rawWorker.mjs';
import {createRecord} from '../lib/record.mjs';
import {
  BOUNDS,
  call,
  putConfig,
  sleep,
  startSystem,
  waitReady,
} from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Parts of each prompt; the last but one decides whether it crashes workers. */
const PARTS = Number(process.env.PARTS ?? 20);
const SERVICE = 'dele69a';
const KEY = 'i9n73hh2b9wu3fexd9dn';
const HOST = 'ficu95.example';
const WORKERS = 6;
/** Share of the requests that have the deadly part. */
const DEADLY_SHARE = 0.05;
const DEADLY_PART = 'dead0a17';
const EVENTS = 6;
const EVENT_MS = 20;
/** How long a worker that crashed stays away. */
const DOWN_MS = 3_000;
const LENGTH_MS = 32_000;
/** How long only sound requests come at first. */
const SOUND_MS = 4_000;
/** How long requests with the deadly part come. */
const DEADLY_MS = 22_000;
const REQUEST_MS = 60;
const MAX_REACHING = 3;

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));

const DOCUMENT = {
  version: 7,
  routes: [
    {
      name: 'r-26tta82',
      host: HOST,
      path_prefix: '/lohu930/',
      kind: 'streaming',
      timeout_ms: 6000,
      target_latency_ms: 600,
      priority: 0,
      service: SERVICE,
      max_attempts: 1,
      allow_anonymous: false,
      sticky_sessions: true,
      resumable: false,
      gap_aim_ms: 400,
    },
  ],
  services: [
    {
      name: SERVICE,
      health_path: '/health',
      max_connections: 520,
      protocol: 'h1',
      tls: false,
      engine: {slots: 8, kv_capacity_tokens: 316995, models: [{name: 'm'}]},
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

const crashes = [];
/** When a request with the deadly part reached a worker. */
const reached = [];
/** Sound requests that a crash cut off. */
const neighbours = new Set();

function formatPrompt(isDeadly, count) {
  const shared = Array.from(
    {length: PARTS - 2},
    (_, index) => `5c1e07${(16 + index).toString(16)}:90`,
  );
  const deciding = isDeadly ? DEADLY_PART : `91bd3f${16 + (count % 40)}`;
  return [
    ...shared,
    `${deciding}:410`,
    `e4${count.toString(16).padStart(6, '0')}:250`,
  ].join(',');
}

/** A worker with its restarts: each start is a new boot with a new id. */
async function runWorker(index, system, controls, isOver) {
  for (let boot = 1; !isOver(); boot += 1) {
    const id = `i-${index}-${boot}`;
    let crashed;
    const hasCrashed = new Promise(resolve => {
      crashed = resolve;
    });
    const running = new Set();
    const worker = await startRawWorker({
      host: `${system.network}.9.${index}`,
      id,
      service: SERVICE,
      slots: 8,
      controls,
      onRequest: (channel, {headers}) => {
        const attempt = headers.get('x-gentianshunt-attempt-id');
        const isDeadly = headers
          .get('x-gentianshunt-prompt-prefix')
          .includes(DEADLY_PART);
        if (headers.get('x-gentianshunt-expect-instance') !== id) {
          channel.write(
            `HTTP/1.1 421 Misdirected Request\r\nX-Gentianshunt-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
          );
          channel.next();
          return;
        }
        running.add(attempt);
        channel.onClosed = () => running.delete(attempt);
        if (isDeadly) {
          reached.push({at: Date.now(), attempt, id});
          record.write(`worker ${id}: ${attempt} with the deadly part arrives`);
        }
        setTimeout(() => {
          if (channel.isClosed) {
            return;
          }
          if (isDeadly && HAS_TROUBLE) {
            crashes.push(Date.now());
            running.delete(attempt);
            running.forEach(other => neighbours.add(other));
            record.write(
              `worker ${id}: crash ${crashes.length}, with ${running.size} other requests`,
            );
            crashed();
            return;
          }
          channel.write(
            `HTTP/1.1 200 OK\r\nX-Gentianshunt-Attempt-Id: ${attempt}\r\nX-Gentianshunt-Response-Seal: stand-in\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
          );
          writeEvents(channel, 1, () => running.delete(attempt));
        }, EVENT_MS);
      },
    });
    const over = (async () => {
      while (!isOver()) {
        await sleep(100);
      }
    })();
    await Promise.race([hasCrashed, over]);
    worker.state.channels.forEach(({socket}) => socket.resetAndDestroy());
    await worker.close();
    if (!isOver()) {
      await sleep(DOWN_MS);
    }
  }
}

function writeEvents(channel, number, onEnd) {
  if (channel.isClosed) {
    return;
  }
  const event = `id: ${number}\ndata: piece\n\n`;
  channel.write(`${event.length.toString(16)}\r\n${event}\r\n`);
  if (number < EVENTS) {
    setTimeout(() => writeEvents(channel, number + 1, onEnd), EVENT_MS);
    return;
  }
  channel.write('0\r\n\r\n');
  onEnd();
  channel.next();
}

async function run() {
  const system = await startSystem({core: 3, plain: 3, log: record.write});
  let isOver = false;
  const workers = [];
  try {
    const {machines} = system;
    await waitReady(machines);
    await putConfig(machines, DOCUMENT);
    const controls = machines.map(machine => machine.url('control'));
    for (let index = 1; index <= WORKERS; index += 1) {
      workers.push(runWorker(index, system, controls, () => isOver));
    }
    await sleep(2_000);
    const agents = machines.map(() => new Agent({keepAlive: true}));
    const statuses = {sound: {}, deadly: {}};
    const open = [];
    const until = Date.now() + LENGTH_MS;
    for (let count = 0; Date.now() < until; count += 1) {
      // Every twentieth request has the deadly part, at changing machines.
      const passedMs = LENGTH_MS - (until - Date.now());
      const isOn = passedMs >= SOUND_MS && passedMs < SOUND_MS + DEADLY_MS;
      const isDeadly = isOn && count % Math.round(1 / DEADLY_SHARE) === 0;
      const index =
        (isDeadly ? count / Math.round(1 / DEADLY_SHARE) : count) %
        machines.length;
      const id = `c${count}`;
      open.push(
        call({
          url: `${machines[index].url('front')}/lohu930/2f`,
          method: 'POST',
          headers: {
            Host: HOST,
            'X-Gentianshunt-Attempt-Id': id,
            'X-Gentianshunt-Deadline-Ms': '6000',
            'X-Gentianshunt-Model': 'm',
            'X-Gentianshunt-Token-Usage': '2450,24',
            'X-Gentianshunt-Prompt-Prefix': formatPrompt(isDeadly, count),
            Authorization: `Bearer ${KEY}`,
            'Content-Length': 6,
          },
          body: 'prompt',
          agent: agents[index],
          timeoutMs: 6000,
        })
          .then(({status}) => status)
          .catch(error => error.message)
          .then(status => {
            const counts = statuses[isDeadly ? 'deadly' : 'sound'];
            counts[status] = (counts[status] ?? 0) + 1;
            record.write(
              `client: ${id}${isDeadly ? ' (deadly part)' : ''} got ${status}`,
            );
          }),
      );
      await sleep(REQUEST_MS);
    }
    await Promise.all(open);
    agents.forEach(agent => agent.destroy());
    const fifth = crashes[4] ?? Number.POSITIVE_INFINITY;
    const late = reached.filter(({at}) => at > fifth + BOUNDS.contact_ms);
    if (late.length > MAX_REACHING) {
      late.forEach(({attempt, id, at}) =>
        record.write(
          `BROKEN (BUDGET): ${attempt} with the deadly part reached ${id} ${at - fifth} ms after the fifth crash`,
        ),
      );
    }
    record.write(
      `parts ${PARTS}; crashes ${crashes.length}; deadly requests that reached workers later than contact_ms after the fifth crash: ${late.length} (${MAX_REACHING} allowed); neighbours cut by crashes: ${neighbours.size}`,
    );
    record.write(`statuses: ${JSON.stringify(statuses)}`);
    if ((statuses.sound[200] ?? 0) < 100) {
      throw new Error('too little was served');
    }
    return late.length > MAX_REACHING ? 1 : 0;
  } finally {
    isOver = true;
    await Promise.all(workers);
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
