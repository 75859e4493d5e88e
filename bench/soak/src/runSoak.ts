import {setMaxListeners} from 'node:events';
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

import type {SiteBounds} from '@gentianshunt/platformWorker';

import {runCaller} from './callers.js';
import type {CallersOptions} from './callers.js';
import {checkHistory} from './checks.js';
import {MOVING_SERVICES} from './configurationContent.js';
import {ROUTE_KINDS} from './configurationDocument.js';
import {drawLargeFiller} from './configurationLoad.js';
import type {ConfigurationLoad, DocumentFiller} from './configurationLoad.js';
import {startConfigurationWorkload} from './configurationWorkload.js';
import type {ConfigurationWorkload} from './configurationWorkload.js';
import {createDeployment} from './deployment.js';
import type {SoakDeployment} from './deployment.js';
import {createStream} from './draws.js';
import {runEndpoints} from './endpoints.js';
import type {Finding} from './finding.js';
import {sendVersion} from './operator.js';
import type {OperatorOptions} from './operator.js';
import {performAction} from './performAction.js';
import type {ActionContext} from './performAction.js';
import {createRecorder} from './recorder.js';
import type {Recorder} from './recorder.js';
import {createRunHistory} from './runHistory.js';
import {
  CONFIGURATION_PHASES,
  LARGE_DOCUMENT_PHASES,
  PHASES,
  planSchedule,
} from './schedule.js';
import type {Phase} from './schedule.js';
import type {ScheduledEvent} from './scheduledAction.js';
import {countEvents} from './soakCounts.js';
import type {SoakCounts} from './soakCounts.js';
import {createVersionBook} from './versionBook.js';
import type {VmProcess} from './vmProcess.js';

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly vms: number;
  readonly memoryMb: number;
  readonly diskMb: number;
  readonly load: ConfigurationLoad;
  /** Folder of settings, logs and data. */
  readonly folder: string;
}

/** What a run showed. */
export interface SoakResult {
  readonly seed: number;
  readonly findings: readonly Finding[];
  readonly counts: SoakCounts;
}

const CORE_VMS = 3;
const FIRST_VERSION = 7;
/** Callers of a VM, by load. */
const CALLERS_PER_VM: Readonly<Record<ConfigurationLoad, number>> = {
  scheduled: 6,
  operators: 3,
  largeDocuments: 2,
};
const PHASES_OF_LOAD: Readonly<Record<ConfigurationLoad, readonly Phase[]>> = {
  scheduled: PHASES,
  operators: CONFIGURATION_PHASES,
  largeDocuments: LARGE_DOCUMENT_PHASES,
};
const FILLER_STREAM = 2;
const ENDPOINTS_PER_SERVICE = 5;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const HOST = 'app.example';
const KEY = 'k-lab-1';
const READY_TIMEOUT_MS = 30_000;
/** Time for endpoints to register before the first requests. */
const WARM_UP_MS = 3_000;
const USAGE_INTERVAL_MS = 500;
/** Longest time for the last requests and actions. */
const END_TIMEOUT_MS = 15_000;
const CATCH_UP_MS = 4_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** The values of the rules, as the settings of the smallest site name them. */
export const BOUNDS: SiteBounds = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  graceMs: 8_000,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  rollbackSlackMs: 250,
  maxSkewMs: 5_000,
  revokeMs: 5_000,
};

/** Plays the schedule of a seed on a new deployment and checks the record. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, durationMs, vms, memoryMb, diskMb, load, folder} = options;
  mkdirSync(folder, {recursive: true});
  const schedule = planSchedule({
    seed,
    durationMs,
    coreVms: CORE_VMS,
    plainVms: vms - CORE_VMS,
    settleMs: CATCH_UP_MS + BOUNDS.contactMs,
    phases: PHASES_OF_LOAD[load],
  });
  writeJsonLines(join(folder, 'schedule.jsonl'), schedule);
  const recorder = createRecorder();
  const deployment = await createDeployment({
    coreVms: CORE_VMS,
    plainVms: vms - CORE_VMS,
    memoryMb,
    diskMb,
    bounds: BOUNDS,
    folder,
    recorder,
  });
  try {
    await runWorkload(options, deployment, recorder, schedule);
  } finally {
    await deployment.close();
    recorder.close();
  }
  const history = createRunHistory({
    bounds: BOUNDS,
    memoryBytes: memoryMb * BYTES_PER_MEBIBYTE,
    diskBytes: diskMb * BYTES_PER_MEBIBYTE,
    vms: deployment.vms.map(({vm: {ip, dataFolder}}) => ({
      name: ip,
      hasDisk: dataFolder !== null,
    })),
    events: recorder.events,
  });
  writeJsonLines(join(folder, 'events.jsonl'), recorder.events);
  const findings = checkHistory(history);
  writeJsonLines(join(folder, 'findings.jsonl'), findings);
  return {seed, findings, counts: countEvents(history, schedule.length)};
}

async function runWorkload(
  options: SoakOptions,
  deployment: SoakDeployment,
  recorder: Recorder,
  schedule: readonly ScheduledEvent[],
): Promise<void> {
  const {vms, controls} = deployment;
  const ended = new AbortController();
  const callersEnded = new AbortController();
  setMaxListeners(Infinity, ended.signal);
  const operator = {
    host: HOST,
    key: KEY,
    controls,
    filler: createFiller(options),
    versions: createVersionBook(FIRST_VERSION),
    recorder,
    signal: ended.signal,
  };
  const createCallers = (vm: VmProcess): CallersOptions => ({
    vm: vm.vm.ip,
    url: `http://${vm.vm.ip}:${deployment.ports.front}`,
    host: HOST,
    key: KEY,
    recorder,
    signal: callersEnded.signal,
  });
  vms.forEach(vm => vm.start('firstStart'));
  if (!(await deployment.awaitReady(READY_TIMEOUT_MS))) {
    const waitedMs = READY_TIMEOUT_MS;
    recorder.record({kind: 'deploymentNotReady', waitedMs});
  }
  await sendVersion(operator, FIRST_VERSION);
  const endpoints = startEndpoints(options, deployment, recorder, ended.signal);
  await delay(WARM_UP_MS);
  const callersPerVm = CALLERS_PER_VM[options.load];
  const callers = vms.flatMap((vm, vmIndex) =>
    Array.from({length: callersPerVm}, (_, index) =>
      runCaller({
        ...createCallers(vm),
        seed: options.seed,
        caller: vmIndex * callersPerVm + index,
      }),
    ),
  );
  const usageTimer = setInterval(
    () => vms.forEach(measureUsage),
    USAGE_INTERVAL_MS,
  );
  const workload = startChanges(options, deployment, operator, createCallers);
  const actions = await runSchedule(
    {
      deployment,
      recorder,
      graceMs: BOUNDS.graceMs,
      operator,
      createCallers,
      away: new Set(),
    },
    schedule,
    options.durationMs,
  );
  callersEnded.abort();
  await workload?.stop();
  await awaitAll([...callers, ...actions]);
  await workload?.end();
  clearInterval(usageTimer);
  ended.abort();
  await awaitAll(endpoints);
}

/** Starts the operators, readers and probe calls that the load asks for. */
function startChanges(
  {seed, load}: SoakOptions,
  deployment: SoakDeployment,
  operator: OperatorOptions,
  createCallers: (vm: VmProcess) => CallersOptions,
): ConfigurationWorkload | undefined {
  if (load === 'scheduled') {
    return undefined;
  }
  return startConfigurationWorkload({
    seed,
    load,
    deployment,
    operator,
    createCallers,
    readBackMs: BOUNDS.contactMs,
  });
}

function createFiller({seed, load}: SoakOptions): DocumentFiller {
  return load === 'largeDocuments'
    ? drawLargeFiller(createStream(seed, FILLER_STREAM))
    : {kind: 'none'};
}

function measureUsage(vm: VmProcess): void {
  vm.measureMemory();
  vm.measureDataFolder();
}

/** Starts each action at its time; returns those that may still go on. */
async function runSchedule(
  context: ActionContext,
  schedule: readonly ScheduledEvent[],
  durationMs: number,
): Promise<readonly Promise<void>[]> {
  const startedAt = performance.now();
  const waitUntil = (at: number): Promise<void> =>
    delay(Math.max(0, startedAt + at - performance.now()));
  const actions: Promise<void>[] = [];
  for (const {at, action} of schedule) {
    await waitUntil(at);
    actions.push(performAction(context, action));
  }
  await waitUntil(durationMs);
  return actions;
}

function startEndpoints(
  {seed, load}: SoakOptions,
  deployment: SoakDeployment,
  recorder: Recorder,
  signal: AbortSignal,
): readonly Promise<void>[] {
  return listServices(load).flatMap((service, serviceIndex) =>
    Array.from({length: ENDPOINTS_PER_SERVICE}, (_, index) => {
      const place = serviceIndex * ENDPOINTS_PER_SERVICE + index;
      return runEndpoints({
        seed,
        place,
        host: deployment.createHost(place),
        service,
        zone: ZONES[index % ZONES.length]!,
        controls: deployment.controls,
        recorder,
        drainMs: BOUNDS.drainMs,
        signal,
      });
    }),
  );
}

/** Lists the services that have endpoints. */
function listServices(load: ConfigurationLoad): readonly string[] {
  const services = ROUTE_KINDS.map(kind => `s-${kind}`);
  const others = MOVING_SERVICES.filter(name => !services.includes(name));
  return load === 'scheduled' ? services : [...services, ...others];
}

async function awaitAll(promises: readonly Promise<void>[]): Promise<void> {
  const timeout = new AbortController();
  await Promise.race([
    Promise.all(promises),
    delay(END_TIMEOUT_MS, undefined, {signal: timeout.signal}).catch(
      () => undefined,
    ),
  ]);
  timeout.abort();
}

function writeJsonLines(file: string, values: readonly unknown[]): void {
  const lines = values.map(value => `${JSON.stringify(value)}\n`);
  writeFileSync(file, lines.join(''));
}
