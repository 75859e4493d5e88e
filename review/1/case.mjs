import {rmSync} from 'node:fs';
import {join} from 'node:path';
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
const SERVICE = 'xano55b';
const KEY = 'i9n73hh2b9wu3fexd9dn';
const HOST = 'ficu95.example';
/** How long a machine whose disk was lost is down. */
const DOWN_MS = 300;
/** Added to catch_up_s before the next disk is lost. */
const MARGIN_MS = 150;

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));

function createDocument(version) {
  return {
    version,
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
        rate_per_s: 76021,
        burst: 76021,
      },
    ],
  };
}

/** Reads from the logs which machine leads the control group. */
function findControlLeader(machines) {
  let found;
  for (const machine of machines) {
    for (const line of machine.output) {
      if (line.includes('"roleChanged"')) {
        const {role, term} = JSON.parse(line);
        if (role === 'leader' && (found === undefined || term > found.term)) {
          found = {machine, term};
        }
      }
    }
  }
  return found?.machine;
}

/** Reads from the logs the members of the control group; the newest list counts. */
function readMembers(machines) {
  let found = {index: -1, members: []};
  for (const machine of machines) {
    for (const line of machine.output) {
      if (line.includes('"membersChanged"')) {
        const {index, members} = JSON.parse(line);
        found = index > found.index ? {index, members} : found;
      }
    }
  }
  return found.members;
}

/** The machine is down, and comes back at its address with an empty disk. */
async function loseDisk(machine) {
  record.write(`machine ${machine.ip} loses its disk`);
  await machine.stop('SIGKILL');
  rmSync(join(machine.folder, machine.ip), {recursive: true, force: true});
  await sleep(DOWN_MS);
  machine.start(false);
  return Date.now();
}

async function readConfig(machines) {
  for (const machine of machines) {
    try {
      const answer = await call({
        url: `${machine.url('control')}/v1/config`,
        timeoutMs: 1500,
      });
      record.write(`read at ${machine.ip}: ${answer.status}`);
      if (answer.status === 200) {
        return JSON.parse(answer.body.toString()).version;
      }
    } catch (error) {
      record.write(`read at ${machine.ip}: ${error.message}`);
    }
  }
  return undefined;
}

let count = 0;
async function countServed(machines, tries) {
  let served = 0;
  for (let index = 0; index < tries; index += 1) {
    const machine = machines[index % machines.length];
    count += 1;
    try {
      const answer = await call({
        url: `${machine.url('front')}/puxa403/2f`,
        method: 'POST',
        headers: {
          Host: HOST,
          'X-Gentianshunt-Attempt-Id': `c${count}`,
          'X-Gentianshunt-Deadline-Ms': '2500',
          Authorization: `Bearer ${KEY}`,
          'Content-Length': 6,
        },
        body: 'credit',
        timeoutMs: 2500,
      });
      served += answer.status === 200 ? 1 : 0;
      record.write(`client of ${machine.ip}: c${count} got ${answer.status}`);
    } catch (error) {
      record.write(`client of ${machine.ip}: c${count} ${error.message}`);
    }
  }
  return served;
}

async function run() {
  const system = await startSystem({core: 4, plain: 4, log: record.write});
  let worker;
  try {
    const {machines, network} = system;
    const core = machines.filter(({hasDisk}) => hasDisk);
    await waitReady(machines);
    await putConfig(machines, createDocument(7));
    worker = await startWorker({
      host: `${network}.9.1`,
      id: 'i-1',
      service: SERVICE,
      controls: machines.map(machine => machine.url('control')),
    });
    await waitFor(
      'all machines with a disk are members',
      () => readMembers(core).length === core.length,
    );
    await sleep(BOUNDS.contact_ms + 3_000);
    const version = 8;
    const acknowledged = await putConfig(machines, createDocument(version));
    record.write(
      `version ${version} acknowledged by ${acknowledged.machine.ip}`,
    );
    const before = await countServed(machines, 24);
    const leader = findControlLeader(core);
    record.write(`members: ${readMembers(core).join(', ')}`);
    record.write(
      `${leader.ip} leads the control group; served ${before} of 24`,
    );
    if (HAS_TROUBLE) {
      const backAt = await loseDisk(leader);
      await sleep(backAt + BOUNDS.catch_up_s * 1000 + MARGIN_MS - Date.now());
      // The next disk: that of the machine which leads now.
      const next = await waitFor('there is another leader', () => {
        const found = findControlLeader(core);
        return found !== leader && found;
      });
      record.write(
        `members: ${readMembers(core).join(', ')}; ${next.ip} leads`,
      );
      await loseDisk(next);
    } else {
      await sleep(6_000);
    }
    const backAt = Date.now();
    await sleep(BOUNDS.recover_s * 1000 + 3_000);
    let read;
    const until = Date.now() + 10_000;
    while (read === undefined && Date.now() < until) {
      read = await readConfig(machines);
      await sleep(500);
    }
    const after = await countServed(machines, 24);
    record.write(
      `${((Date.now() - backAt) / 1000).toFixed(1)} s after all machines are back: configuration read ${read}, acknowledged ${version}; served ${after} of 24, before ${before}`,
    );
    const isBroken = read === undefined || read < version;
    if (isBroken) {
      record.write('BROKEN (LOST): the acknowledged configuration is gone');
    }
    if (before < 20) {
      throw new Error('too little was served');
    }
    return isBroken ? 1 : 0;
  } finally {
    await worker?.close();
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
