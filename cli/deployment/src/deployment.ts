import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {startProcess} from './childProcess.js';
import type {StartedProcess} from './childProcess.js';

/** How many processes of each kind a deployment has. */
export interface DeploymentOptions {
  readonly controls: number;
  readonly entries: number;
}

export interface DeployedEntry {
  readonly node: string;
  readonly url: string;
  readonly process: StartedProcess;
}

export interface DeployedControl {
  readonly node: string;
  readonly peer: {readonly host: string; readonly port: number};
  readonly dataFolder: string;
  readonly settingsFile: string;
  readonly process: StartedProcess;
}

export interface DeployedEndpoint {
  readonly url: string;
  readonly process: StartedProcess;
}

/** A deployment on loopback addresses. */
export interface Deployment {
  readonly controls: readonly DeployedControl[];
  readonly entries: readonly DeployedEntry[];
  /** Starts a stand-in model engine that announces itself to the entries. */
  startEngine(args: EndpointArgs): Promise<DeployedEndpoint>;
  /** Starts a stand-in plain service that announces itself to the entries. */
  startService(args: EndpointArgs): Promise<DeployedEndpoint>;
  /** Starts a stopped control daemon again, with its settings file. */
  restartControl(node: string): Promise<void>;
  /** Kills all processes and deletes their files. */
  stop(): Promise<void>;
}

/** Command line arguments of a stand-in endpoint. */
export interface EndpointArgs {
  readonly endpoint: string;
  readonly set: string;
  /** Further arguments of the stand-in. */
  readonly extra?: readonly string[];
}

const HOST = '127.0.0.1';
const DOMAINS = ['a', 'b', 'c'] as const;

/** Returns the path of a compiled script, from its path in the workspace. */
export function findScript(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

/** Ports below the range from which systems assign ports to sockets. */
const FIRST_PORT = 10_240;
const PORT_COUNT = 22_000;
/** Ports that lie between the first candidates of successive process ids. */
const PORTS_PER_PROCESS = 64;

let candidateCount = 0;

/**
 * Finds ports that are free now. Processes that search at the same time start at
 * different ports, so that they do not find the same ones.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const candidate = process.pid * PORTS_PER_PROCESS + candidateCount;
    candidateCount += 1;
    const port = FIRST_PORT + (candidate % PORT_COUNT);
    if (await isPortFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/** Starts the control daemons and entries, each as a process. */
export async function createDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-'));
  const ports = await findFreePorts(options.controls + 2 * options.entries);
  const members = Array.from({length: options.controls}, (_, index) => ({
    node: `control-${index}`,
    port: ports[index]!,
  }));
  const controlSettings = members.map(formatControlSettings).join('\n');
  const controls = await Promise.all(
    members.map(async (member, index) => {
      const settingsFile = join(folder, `${member.node}.toml`);
      const dataFolder = join(folder, member.node);
      const lines = [
        ...formatCommonSettings(member.node, index, member.port),
        `data_folder = "${dataFolder}"`,
        controlSettings,
      ];
      writeFileSync(settingsFile, lines.join('\n'));
      const process = await startControl(settingsFile);
      const peer = {host: HOST, port: member.port};
      return {node: member.node, peer, dataFolder, settingsFile, process};
    }),
  );
  const entries = await Promise.all(
    Array.from({length: options.entries}, async (_, index) => {
      const node = `entry-${index}`;
      const offset = options.controls + 2 * index;
      const httpPort = ports[offset + 1]!;
      const settingsFile = join(folder, `${node}.toml`);
      const lines = [
        ...formatCommonSettings(node, index, ports[offset]!),
        `http = { host = "${HOST}", port = ${httpPort} }`,
        'insecure_operators = true',
        controlSettings,
      ];
      writeFileSync(settingsFile, lines.join('\n'));
      const script = findScript('daemons/entryd/dist/src/main.js');
      const process = await startProcess(script, ['--settings', settingsFile]);
      return {node, url: `http://${HOST}:${httpPort}`, process};
    }),
  );
  return createHandle(folder, controls, entries);
}

function createHandle(
  folder: string,
  started: readonly DeployedControl[],
  entries: readonly DeployedEntry[],
): Deployment {
  const controls = [...started];
  const endpoints: StartedProcess[] = [];
  const urls = entries.map(entry => entry.url).join(',');
  const startEndpoint = async (
    script: string,
    args: EndpointArgs,
  ): Promise<DeployedEndpoint> => {
    const process = await startProcess(findScript(script), [
      ...['--endpoint', args.endpoint, '--set', args.set],
      ...['--entries', urls],
      ...(args.extra ?? []),
    ]);
    endpoints.push(process);
    return {url: String(process.ready['url']), process};
  };
  return {
    controls,
    entries,
    startEngine: args =>
      startEndpoint('standins/modelEngine/dist/src/main.js', args),
    startService: args =>
      startEndpoint('standins/plainService/dist/src/main.js', args),
    restartControl: async node => {
      const index = controls.findIndex(control => control.node === node);
      const control = controls[index]!;
      const process = await startControl(control.settingsFile);
      controls[index] = {...control, process};
    },
    stop: async () => {
      const processes = [
        ...entries.map(entry => entry.process),
        ...controls.map(control => control.process),
        ...endpoints,
      ];
      await Promise.all(processes.map(process => process.stop('SIGKILL')));
      rmSync(folder, {recursive: true, force: true});
    },
  };
}

function startControl(settingsFile: string): Promise<StartedProcess> {
  const script = findScript('daemons/controld/dist/src/main.js');
  return startProcess(script, ['--settings', settingsFile]);
}

function formatCommonSettings(
  node: string,
  index: number,
  port: number,
): readonly string[] {
  return [
    `node = "${node}"`,
    `domain = "${DOMAINS[index % DOMAINS.length]}"`,
    `peer = { host = "${HOST}", port = ${port} }`,
  ];
}

function formatControlSettings(member: {
  readonly node: string;
  readonly port: number;
}): string {
  return [
    '[[control]]',
    `node = "${member.node}"`,
    `peer = { host = "${HOST}", port = ${member.port} }`,
  ].join('\n');
}
