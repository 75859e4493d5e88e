// A small deployment on loopback addresses: the program of the deploy file, one
// process a machine, each with an address of its own. Ports are the same on all
// machines. Nothing is written but in a temporary folder.
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
} from 'node:fs';
import {createWriteStream, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {delay};

/** The root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Reads the command of the program from the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const run = /^run = "([^"]+)"$/m.exec(text)[1];
  return run.split(' ');
}

/** Creates a record that is written to a file, a line an event. */
export function createRecord(file) {
  writeFileSync(file, '');
  const startedAt = Date.now();
  return {
    now: () => Date.now() - startedAt,
    add: text => {
      const at = ((Date.now() - startedAt) / 1000).toFixed(3);
      appendFileSync(file, `${at.padStart(8)} ${text}\n`);
    },
  };
}

async function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a first port from which ten are free on all hosts. */
async function findPorts(hosts) {
  for (let tries = 0; tries < 50; tries += 1) {
    const base = 20_000 + 20 * Math.floor(Math.random() * 600);
    const checks = hosts.flatMap(host =>
      Array.from({length: 10}, (_, offset) => isFree(host, base + offset)),
    );
    if ((await Promise.all(checks)).every(free => free)) {
      return base;
    }
  }
  throw new Error('no free ports');
}

/** The bounds of a small site, as the page on deployment shows them. */
const BOUNDS = {
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
  again_s: 6,
  ttl_max_s: 5,
};

/**
 * Prepares machines; `core` of them have a disk and are the seeds. Returns
 * functions to start and end them.
 */
export async function createDeployment({
  machines = 3,
  core = Math.min(3, machines),
  memoryMb = 200,
  bounds = {},
  record,
  useInternal = false,
}) {
  const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-review-'));
  const net2 = 16 + Math.floor(Math.random() * 200);
  const net3 = Math.floor(Math.random() * 250);
  const hosts = Array.from(
    {length: machines},
    (_, i) => `127.${net2}.${net3}.${i + 11}`,
  );
  const base = await findPorts(hosts);
  const ports = {
    front: base,
    ready: base + 1,
    control: base + 2,
    directory: base + 3,
    internal: base + 4,
    listenInternal: base + 6,
  };
  const [command, ...args] = readCommand();
  const nodes = hosts.map((host, index) => ({
    name: `front-${index + 1}`,
    host,
    hasDisk: index < core,
    dataDir: join(folder, `disk-${index + 1}`),
    child: undefined,
    exits: [],
    logFile: join(folder, `log-${index + 1}.txt`),
  }));
  const formatSettings = (node, bootstrap) => `node_name = "${node.name}"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = "${node.host}"
zone = "zone-${(nodes.indexOf(node) % 3) + 1}"
region = "region-1"
internal_ports = [${ports.internal},${ports.internal + 1}]
seeds = [${nodes
    .slice(0, core)
    .map(({host}) => `"${host}:${ports.control}"`)
    .join(',')}]
bootstrap = ${bootstrap}
in_failure_budget = ${node.hasDisk}
${node.hasDisk ? `data_dir = "${node.dataDir}"\n` : ''}discovery = "registry"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota"]
config_mode = "highest"
[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[listen]
front = "${node.host}:${ports.front}"
ready = "${node.host}:${ports.ready}"
control = "${node.host}:${ports.control}"
directory = "${node.host}:${ports.directory}"
${useInternal ? `internal = "${node.host}:${ports.listenInternal}"\n` : ''}[limits]
cpu_share = 1.0
cpu_cores = 1
memory_mb = ${memoryMb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = ${node.hasDisk ? 64 : 0}
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${Object.entries({...BOUNDS, ...bounds})
  .map(([key, value]) => `${key} = ${value}`)
  .join('\n')}
`;
  const start = (node, {bootstrap = false} = {}) => {
    const file = join(folder, `${node.name}.toml`);
    writeFileSync(file, formatSettings(node, bootstrap));
    if (node.hasDisk) {
      mkdirSync(node.dataDir, {recursive: true});
    }
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: folder,
        GENTIANSHUNT_CONFIG: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(node.logFile, {flags: 'a'});
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    child.once('exit', (code, signal) => {
      node.exits.push({code, signal});
      record.add(`${node.name} ended: code ${code}, signal ${signal}`);
      if (node.child === child) {
        node.child = undefined;
      }
    });
    node.child = child;
    record.add(`${node.name} (${node.host}) started, process ${child.pid}`);
    return child;
  };
  const signal = (node, name) => {
    record.add(`${name} to ${node.name}`);
    node.child?.kill(name);
  };
  const waitExit = async (node, ms) => {
    const until = Date.now() + ms;
    while (node.child !== undefined && Date.now() < until) {
      await delay(20);
    }
    return node.child === undefined;
  };
  const close = async () => {
    for (const node of nodes) {
      node.child?.kill('SIGCONT');
      node.child?.kill('SIGKILL');
    }
    await Promise.all(nodes.map(node => waitExit(node, 5_000)));
    rmSync(folder, {recursive: true, force: true});
  };
  return {
    nodes,
    ports,
    /** Where stand-ins of workers listen; nothing else uses this address. */
    workerHost: `127.${net2}.${net3}.200`,
    folder,
    start,
    signal,
    waitExit,
    close,
    startAll: () => nodes.forEach(node => start(node, {bootstrap: true})),
    readLog: node => readFileSync(node.logFile, 'utf8'),
  };
}

/** Sends one request on a channel of its own, or by an agent. */
export function call({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs = 5_000,
  agent,
}) {
  return new Promise(resolve => {
    const chunks = [];
    let status = 0;
    let answered = {};
    let ended = false;
    const end = result => {
      if (!ended) {
        ended = true;
        clearTimeout(timer);
        resolve({
          status,
          headers: answered,
          body: Buffer.concat(chunks),
          ...result,
        });
      }
    };
    const request = http.request(
      {host, port, method, path, headers, agent: agent ?? false},
      response => {
        status = response.statusCode;
        answered = response.headers;
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () => end({whole: response.complete}));
        response.on('aborted', () => end({whole: false, error: 'aborted'}));
        response.on('error', error =>
          end({whole: false, error: error.message}),
        );
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      end({whole: false, error: 'timeout'});
    }, timeoutMs);
    request.on('error', error =>
      end({whole: false, error: error.code ?? error.message}),
    );
    request.end(body);
  });
}

/** Sends an order to the operator's interface until one machine takes it. */
export async function putConfig(
  deployment,
  document,
  {forMs = 15_000, nodes = deployment.nodes, record} = {},
) {
  const until = Date.now() + forMs;
  const body = JSON.stringify(document);
  for (let turn = 0; Date.now() < until; turn += 1) {
    const node = nodes[turn % nodes.length];
    const answer = await call({
      host: node.host,
      port: deployment.ports.control,
      method: 'PUT',
      path: '/v1/config',
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
      body,
      timeoutMs: 4_000,
    });
    record?.add(
      `PUT /v1/config version ${document.version} at ${node.name}: ${answer.status || answer.error}`,
    );
    if (
      answer.status === 200 ||
      (answer.status >= 400 &&
        answer.status < 500 &&
        answer.status !== 408 &&
        answer.status !== 429)
    ) {
      return answer;
    }
    await delay(150);
  }
  return undefined;
}

/** Waits until machines say that they are ready. */
export async function waitReady(
  deployment,
  nodes = deployment.nodes,
  forMs = 20_000,
) {
  const until = Date.now() + forMs;
  for (const node of nodes) {
    for (;;) {
      const {status} = await call({
        host: node.host,
        port: deployment.ports.ready,
        path: '/v1/ready',
        timeoutMs: 1_000,
      });
      if (status === 200) {
        break;
      }
      if (Date.now() > until) {
        return false;
      }
      await delay(100);
    }
  }
  return true;
}

let lastId = 0;
/** Draws an id of a client's attempt. */
export function drawId() {
  lastId += 1;
  return `${Date.now().toString(16)}${process.pid.toString(16)}${lastId.toString(16).padStart(5, '0')}`;
}
