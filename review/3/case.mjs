import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';

import {formatAnswer, startRawWorker} from '../lib/rawWorker.mjs';
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
/** Workers to which the operator lets one client attempt be sent. */
const MAX_ATTEMPTS = Number(process.env.MAX_ATTEMPTS ?? 2);
const WORK_MS = 30;
const WORKERS = 4;
/** Share of its requests that one worker turns away. */
const SHED_SHARE = 0.45;
/** Share of its answers that this worker writes a second time. */
const EXTRA_SHARE = 0.03;
/** Lengths of both disturbances, and the time from one start to the next. */
const SHED_MS = 6_500;
const EXTRA_MS = 5_000;
const CYCLE_MS = 8_000;
const LENGTH_MS = 7 * CYCLE_MS;
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
      max_attempts: MAX_ATTEMPTS,
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

/** The requests that workers began to work on, by id. */
const runs = new Map();
const counts = {answers: 0, extras: 0};

let startedAt = Number.POSITIVE_INFINITY;

/** Returns whether a disturbance of this length is on. */
function isWithin(lengthMs) {
  const passedMs = Date.now() - startedAt;
  return passedMs >= 0 && passedMs % CYCLE_MS < lengthMs;
}

/** Serves a request; the first worker sheds, and writes refusals once more. */
function serve(worker, channel, {headers}) {
  const id = headers.get('x-gentianshunt-attempt-id');
  if (headers.get('x-gentianshunt-expect-instance') !== worker) {
    channel.write(
      formatAnswer(421, 'Misdirected Request', {
        'X-Gentianshunt-Instance-Id': worker,
      }),
    );
    channel.next();
    return;
  }
  const isFaulty = worker === 'i-1';
  // The second copy of an answer comes where the next answer is expected.
  if (channel.data.extra !== undefined) {
    record.write(
      `worker ${worker}: second copy of the refusal of ${channel.data.extraOf} while ${id} is expected`,
    );
    channel.write(channel.data.extra);
    channel.data.extra = undefined;
  }
  if (isFaulty && isWithin(EXTRA_MS)) {
    counts.answers += 1;
  }
  if (isFaulty && isWithin(SHED_MS) && Math.random() < SHED_SHARE) {
    const refusal = formatAnswer(503, 'Service Unavailable', {
      'X-Gentianshunt-Attempt-Id': id,
      'X-Gentianshunt-Not-Executed': '1',
    });
    record.write(`worker ${worker}: ${id} turned away`);
    const isTwice = HAS_TROUBLE && isWithin(EXTRA_MS);
    if (isTwice && counts.extras + 1 <= EXTRA_SHARE * counts.answers) {
      counts.extras += 1;
      channel.data.extra = refusal;
      channel.data.extraOf = id;
    }
    channel.write(refusal);
    channel.next();
    return;
  }
  runs.set(id, [...(runs.get(id) ?? []), worker]);
  record.write(`worker ${worker}: ${id} runs`);
  setTimeout(() => {
    channel.write(
      formatAnswer(
        200,
        'OK',
        {
          'X-Gentianshunt-Attempt-Id': id,
          'X-Gentianshunt-Response-Seal': 'stand-in',
        },
        'booked',
      ),
    );
    channel.next();
  }, WORK_MS);
}

const answers = new Map();

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
      answers.set(id, answer.status);
      record.write(
        `client: ${id} answered ${answer.status} ${answer.status === 200 ? '' : answer.body}`,
      );
    } catch (error) {
      answers.set(id, error.message);
      record.write(`client: ${id} failed: ${error.message}`);
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
    await sleep(500);
    const NOT_RUN = new Set([408, 421, 429, 503]);
    const refused = [...answers].filter(
      ([id, status]) => NOT_RUN.has(status) && runs.has(id),
    );
    const twice = [...runs].filter(([, workersOf]) => workersOf.length > 1);
    for (const [id, status] of refused) {
      record.write(
        `BROKEN (REFUSED): ${id} was answered ${status} and ran at ${runs.get(id)}`,
      );
    }
    for (const [id, workersOf] of twice) {
      record.write(`BROKEN (TWICE): ${id} ran at ${workersOf}`);
    }
    const served = [...answers.values()].filter(
      status => status === 200,
    ).length;
    record.write(
      `served ${served} of ${answers.size}; worker i-1 answered ${counts.answers}, wrote ${counts.extras} refusals twice; refused and run: ${refused.length}; run twice: ${twice.length}`,
    );
    if (served < 100) {
      throw new Error('too little was served');
    }
    return refused.length + twice.length > 0 ? 1 : 0;
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
