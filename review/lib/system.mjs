/** Starts the project's program as separate processes on loopback addresses. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Bounds of the site accuterug-hub. */
export const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_skew_ms: 5000,
  fail_closed: true,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_budget_slack: 64,
  quota_window_s: 8,
  quota_overage: 0.1,
  quota_slack: 72000,
  recover_s: 12,
  pass_ms: 120,
  again_s: 7.9,
  ttl_max_s: 5,
};

/** A script that has not ended by then could not run. */
const LONGEST_RUN_MS = 115_000;

const ZONES = ['nl-west-a', 'nl-west-b', 'nl-west-c', 'nl-west-d'];

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Reads the command of the deploy file that starts a role. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

/** Finds a port that is free on all hosts, with the next ones free as well. */
async function findPorts(hosts, count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const ports = Array.from({length: count}, (_, index) => first + index);
    const checks = hosts.flatMap(host => ports.map(port => isFree(host, port)));
    if ((await Promise.all(checks)).every(Boolean)) {
      return ports;
    }
  }
}

/**
 * Starts machines on loopback addresses; the first `core` of them have a data
 * folder. The stand-ins get addresses of the same network.
 */
export async function startSystem({core = 3, plain = 3, log = () => {}}) {
  const network = `127.${20 + Math.floor(Math.random() * 200)}`;
  const names = Array.from({length: core + plain}, (_, index) => ({
    index,
    ip: `${network}.1.${index + 1}`,
    zone: ZONES[index % ZONES.length],
    hasDisk: index < core,
  }));
  const hosts = names.map(({ip}) => ip);
  const [front, ready, control, directory, ...internal] = await findPorts(
    hosts,
    20,
  );
  const ports = {front, ready, control, directory};
  const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-review-'));
  const seeds = hosts.slice(0, Math.min(3, core));
  const machines = names.map(name =>
    createMachine({...name, folder, ports, internal, seeds, log}),
  );
  endWithThisProcess(machines, folder);
  machines.forEach(machine => machine.start(true));
  const system = {
    machines,
    ports,
    network,
    folder,
    close: async () => {
      await Promise.all(machines.map(machine => machine.stop('SIGKILL')));
      rmSync(folder, {recursive: true, force: true});
    },
  };
  return system;
}

/** No machine outlives the script, whichever way that ends. */
function endWithThisProcess(machines, folder) {
  process.once('exit', () => {
    machines.forEach(machine => machine.isRunning && machine.signal('SIGKILL'));
    rmSync(folder, {recursive: true, force: true});
  });
  const giveUp = () => process.exit(2);
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach(name => process.once(name, giveUp));
  setTimeout(giveUp, LONGEST_RUN_MS).unref();
}

function createMachine(options) {
  const {ip, folder, ports, log} = options;
  const file = join(folder, `${ip}.toml`);
  let child;
  let exited = Promise.resolve();
  const machine = {
    ...options,
    url: port => `http://${ip}:${ports[port]}`,
    get pid() {
      return child?.pid;
    },
    get isRunning() {
      return (
        child !== undefined &&
        child.exitCode === null &&
        child.signalCode === null
      );
    },
    output: [],
    start: isFirst => {
      writeFileSync(file, formatSettings(options, isFirst));
      const [program, ...args] = readCommand();
      child = spawn(program === 'node' ? process.execPath : program, args, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          GENTIANSHUNT_CONFIG: file,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const started = child;
      exited = new Promise(resolve => {
        started.once('exit', (code, signal) => {
          log(`machine ${ip} ended: code ${code} signal ${signal}`);
          resolve();
        });
      });
      for (const stream of [child.stdout, child.stderr]) {
        let rest = '';
        stream.on('data', chunk => {
          const lines = (rest + chunk).split('\n');
          rest = lines.pop();
          machine.output.push(...lines);
        });
      }
      log(`machine ${ip} started`);
    },
    signal: name => child.kill(name),
    stop: async name => {
      if (machine.isRunning) {
        child.kill(name);
      }
      await exited;
    },
  };
  return machine;
}

function formatSettings(options, isFirst) {
  const {ip, index, zone, hasDisk, folder, ports, internal, seeds} = options;
  const list = Object.entries(ports).map(
    ([name, port]) => `${name} = "${ip}:${port}"`,
  );
  const bounds = Object.entries(BOUNDS).map(
    ([name, value]) => `${name} = ${value}`,
  );
  return `node_name = "front-${zone}-${index + 1}"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = "${ip}"
zone = "${zone}"
region = "nl-west"
internal_ports = [${internal[0]},${internal[internal.length - 1]}]
seeds = [${seeds.map(seed => `"${seed}:${ports.control}"`).join(',')}]
bootstrap = ${isFirst}
in_failure_budget = ${hasDisk}
${hasDisk ? `data_dir = "${join(folder, ip)}"\n` : ''}discovery = "registry"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota"]
config_mode = "highest"
[zones]
${ZONES.map(name => `${name} = "nl-west"`).join('\n')}
[listen]
${list.join('\n')}
[limits]
cpu_share = 0.675
cpu_cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
${hasDisk ? 'disk_mb = 64\n' : ''}[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${bounds.join('\n')}
`;
}

/** Sends one HTTP request on a channel of its own and reads the answer. */
export function call({
  url,
  method = 'GET',
  headers = {},
  body,
  timeoutMs = 5000,
  agent,
  localAddress,
}) {
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      url,
      {
        method,
        headers,
        agent: agent ?? false,
        localAddress,
        timeout: timeoutMs,
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', reject);
        response.on('aborted', () => reject(new Error('answer cut')));
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            isComplete: response.complete,
          }),
        );
      },
    );
    request.on('timeout', () =>
      request.destroy(new Error('no answer in time')),
    );
    request.on('error', reject);
    request.end(body);
  });
}

/** Waits until a condition holds; throws after the time. */
export async function waitFor(what, check, timeoutMs = 30_000) {
  const until = Date.now() + timeoutMs;
  for (;;) {
    const found = await Promise.resolve()
      .then(check)
      .catch(() => undefined);
    if (found) {
      return found;
    }
    if (Date.now() > until) {
      throw new Error(`not reached in ${timeoutMs} ms: ${what}`);
    }
    await sleep(50);
  }
}

/** Puts a configuration as the operator does: again until it is accepted. */
export async function putConfig(machines, document, timeoutMs = 20_000) {
  const body = JSON.stringify(document);
  const until = Date.now() + timeoutMs;
  for (let turn = 0; Date.now() < until; turn += 1) {
    const machine = machines[turn % machines.length];
    try {
      const answer = await call({
        url: `${machine.url('control')}/v1/config`,
        method: 'PUT',
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
        body,
      });
      if (answer.status === 200) {
        return {machine, at: Date.now()};
      }
      if (answer.status < 500) {
        throw Object.assign(
          new Error(`refused: ${answer.status} ${answer.body}`),
          {isFinal: true},
        );
      }
    } catch (error) {
      if (error.isFinal) {
        throw error;
      }
    }
    await sleep(100);
  }
  throw new Error('the configuration was not accepted');
}

/** Waits until all machines say that they are ready. */
export async function waitReady(machines, timeoutMs = 30_000) {
  for (const machine of machines) {
    await waitFor(
      `${machine.ip} is ready`,
      async () =>
        (await call({url: `${machine.url('ready')}/v1/ready`, timeoutMs: 1000}))
          .status === 200,
      timeoutMs,
    );
  }
}
