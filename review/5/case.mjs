import {Agent} from 'node:http';
import {fileURLToPath} from 'node:url';

import {createRecord} from '../lib/record.mjs';
import {
  BOUNDS,
  call,
  putConfig,
  sleep,
  startSystem,
  waitFor,
  waitReady,
} from '../lib/system.mjs';
import {startWorker} from '../lib/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICES = ['dele69a', 'huvo11a', 'wuno96b', 'xano55b'];
const KEY = 'i9n73hh2b9wu3fexd9dn';
const HOST = 'ficu95.example';
/** How late the heartbeat arrives that was sent before the worker left. */
const LATE_HEARTBEAT_MS = 4_300;
const RETURN_MS = 3_500;
const WATCH_MS = 8_500;
/** How long after its leave the worker exits. */
const EXIT_MS = 6_500;
const WORK_MS = 150;
const CLIENT_PAUSE_MS = 25;

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));

function createDocument() {
  return {
    version: 7,
    routes: SERVICES.map(service => ({
      name: `r-${service}`,
      host: HOST,
      path_prefix: `/${service}/`,
      kind: 'unsafe',
      timeout_ms: 1200,
      target_latency_ms: 150,
      priority: 2,
      service,
      max_attempts: 1,
      allow_anonymous: false,
    })),
    services: SERVICES.map(name => ({
      name,
      health_path: '/health',
      max_connections: 130,
      protocol: 'h1',
      tls: false,
    })),
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
        rate_per_s: 76021,
        burst: 76021,
      },
    ],
  };
}

/** Sends requests to one machine, one after the other, on a kept channel. */
async function runClient(machine, service, sent, isOver) {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let count = 0; !isOver(); count += 1) {
    const id = `${machine.index}${service}${count}`;
    sent.set(id, {at: Date.now(), machine});
    try {
      const answer = await call({
        url: `${machine.url('front')}/${service}/fi50/2f`,
        method: 'POST',
        headers: {
          Host: HOST,
          'X-Gentianshunt-Attempt-Id': id,
          'X-Gentianshunt-Deadline-Ms': '2500',
          Authorization: `Bearer ${KEY}`,
        },
        agent,
        timeoutMs: 2500,
      });
      sent.get(id).status = answer.status;
      record.write(`client of ${machine.ip}: ${id} answered ${answer.status}`);
    } catch (error) {
      record.write(`client of ${machine.ip}: ${id} failed: ${error.message}`);
      await sleep(200);
    }
    await sleep(CLIENT_PAUSE_MS);
  }
  agent.destroy();
}

async function run() {
  const system = await startSystem({core: 3, plain: 4, log: record.write});
  const workers = [];
  try {
    const {machines, network} = system;
    await waitReady(machines);
    await putConfig(machines, createDocument());
    const controls = machines.map(machine => machine.url('control'));
    const start = (service, index) =>
      startWorker({
        host: `${network}.9.${index}`,
        id: `i-${service}-${index}`,
        service,
        controls,
        record: record.write,
        workMs: WORK_MS,
      });
    for (const service of SERVICES) {
      workers.push(await start(service, 1));
    }
    // The service whose set is led by a machine without a disk: its loss leaves the core stable.
    const findLeader = worker =>
      machines.find(machine => machine.url('control') === worker.state.target);
    const chosen = await waitFor(
      'a set is led by a machine without a disk',
      async () => {
        await Promise.all(workers.map(worker => worker.beat()));
        await sleep(300);
        return workers.find(worker => findLeader(worker)?.hasDisk === false);
      },
    );
    const {service} = chosen.state;
    workers.push(await start(service, 2), await start(service, 3));
    const leaver = chosen;
    const leader = findLeader(leaver);
    record.write(
      `service ${service}: worker ${leaver.state.id} will leave; heartbeats go to ${leader.ip}`,
    );
    const others = machines.filter(machine => machine !== leader);
    const sent = new Map();
    let isOver = false;
    const clients = others.map(machine =>
      runClient(machine, service, sent, () => isOver),
    );
    await sleep(BOUNDS.contact_ms + 2_000);

    // The last heartbeat before the leave is held up on its way.
    const late = leaver.formatBeat();
    const receiver = others.find(machine => !machine.hasDisk);
    const lateArrival = sleep(LATE_HEARTBEAT_MS)
      .then(() =>
        call({
          url: `${receiver.url('control')}/v1/instances/${leaver.state.id}`,
          method: 'PUT',
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(late),
          },
          body: late,
        }),
      )
      .then(answer =>
        record.write(
          `late heartbeat (sequence ${leaver.state.sequence}) reaches ${receiver.ip}: ${answer.status}`,
        ),
      );
    await sleep(200);
    const status = await leaver.leave(leader.url('control'));
    const leftAt = Date.now();
    record.write(
      `${leader.ip} acknowledges with ${status} that ${leaver.state.id} is gone`,
    );
    if (status !== 200) {
      throw new Error('the leave was not acknowledged');
    }
    await sleep(300);
    if (HAS_TROUBLE) {
      await leader.stop('SIGKILL');
      setTimeout(() => leader.start(false), RETURN_MS);
    }
    await sleep(EXIT_MS - 300);
    await leaver.close();
    record.write(`worker ${leaver.state.id} exits`);
    await sleep(WATCH_MS - EXIT_MS);
    isOver = true;
    await Promise.all([...clients, lateArrival]);

    const afterDrain = leaver.state.runs.filter(
      ({attempt, at}) =>
        at > leftAt + BOUNDS.drain_ms && sent.get(attempt)?.at > leftAt,
    );
    const served = workers
      .filter(worker => worker !== leaver)
      .reduce(
        (sum, worker) =>
          sum + worker.state.runs.filter(({at}) => at > leftAt).length,
        0,
      );
    for (const {attempt, at} of afterDrain) {
      record.write(
        `BROKEN: ${attempt} ran at ${leaver.state.id} ${at - leftAt} ms after the acknowledged leave, sent by ${sent.get(attempt).machine.ip}`,
      );
    }
    const lost = afterDrain.filter(
      ({attempt}) => sent.get(attempt).status !== 200,
    );
    record.write(
      `accepted requests that the worker's exit cut: ${lost.map(({attempt}) => `${attempt} (${sent.get(attempt).status})`).join(', ')}`,
    );
    record.write(
      `requests at the worker that left, later than drain_ms: ${afterDrain.length}; at the others since: ${served}`,
    );
    if (served < 20) {
      throw new Error('the service was not served');
    }
    return afterDrain.length > 0 ? 1 : 0;
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
