import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

import {
  BOUNDS,
  createConfigurationReader,
  createDeployment,
  createRecorder,
  createVersionBook,
  listEvents,
  sendVersion,
} from '@gentianshunt/soak';
import type {
  ConfigurationReader,
  DocumentFiller,
  RecordedEvent,
  SoakDeployment,
  VmProcess,
} from '@gentianshunt/soak';

import {awaitPromotion} from './memberPromotion.js';

/** Documents that are put in place one after the other. */
export interface DocumentLoad {
  readonly kilobytes: number;
  readonly changes: number;
}

/** What documents cost the VMs that replicate the control log. */
export interface DocumentCost {
  /** Changes that were acknowledged in time. */
  readonly acknowledged: number;
  readonly medianAckMs: number;
  /** Peak of resident memory of any of them. */
  readonly peakMb: number;
  /** Size of the largest data folder, in megabytes. */
  readonly folderMb: number;
  /** From the start of a member without its disk until it has a vote. */
  readonly replaceMs: number | undefined;
  /** From the start of all VMs until each has answered a read. */
  readonly readMs: number | undefined;
}

interface Measurement {
  readonly deployment: SoakDeployment;
  readonly reader: ConfigurationReader;
  readonly events: readonly RecordedEvent[];
  readonly folder: string;
}

const CORE_VMS = 3;
const PLAIN_VMS = 1;
const MEMORY_MB = 200;
const DISK_MB = 64;
const FIRST_VERSION = 7;
const READY_TIMEOUT_MS = 30_000;
/** Longest time for all changes of a load. */
const CHANGES_TIMEOUT_MS = 180_000;
const RETURN_TIMEOUT_MS = 30_000;
const KILL_WAIT_MS = 5_000;
const POLL_MS = 20;
const USAGE_INTERVAL_MS = 250;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Puts documents in place on processes of this program and measures them. */
export async function measureDocuments(
  load: DocumentLoad,
): Promise<DocumentCost> {
  const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-documents-'));
  const recorder = createRecorder();
  const deployment = await createDeployment({
    coreVms: CORE_VMS,
    plainVms: PLAIN_VMS,
    memoryMb: MEMORY_MB,
    diskMb: DISK_MB,
    bounds: BOUNDS,
    folder,
    recorder,
  });
  const usageTimer = setInterval(
    () => deployment.vms.forEach(measureUsage),
    USAGE_INTERVAL_MS,
  );
  try {
    deployment.vms.forEach(vm => vm.start('firstStart'));
    await deployment.awaitReady(READY_TIMEOUT_MS);
    const ackTimes = await sendChanges(load, deployment, recorder);
    deployment.vms.forEach(measureUsage);
    const usage = readUsage(recorder.events);
    const reader = createConfigurationReader(recorder);
    const measurement = {deployment, reader, events: recorder.events, folder};
    const replaceMs = await measureReplacement(measurement);
    const readMs = await measureStart(measurement);
    return {
      acknowledged: ackTimes.length,
      medianAckMs: ackTimes[Math.floor(ackTimes.length / 2)] ?? Infinity,
      ...usage,
      replaceMs,
      readMs,
    };
  } finally {
    clearInterval(usageTimer);
    await deployment.close();
    recorder.close();
    rmSync(folder, {recursive: true, force: true});
  }
}

/** Sends the changes in series; returns the times to their acknowledgements. */
async function sendChanges(
  {kilobytes, changes}: DocumentLoad,
  {listControls}: SoakDeployment,
  recorder: ReturnType<typeof createRecorder>,
): Promise<readonly number[]> {
  const filler: DocumentFiller = {kind: 'organisations', kilobytes};
  const versions = createVersionBook(FIRST_VERSION);
  const options = {
    host: 'app.example',
    key: 'k-lab-1',
    listControls,
    filler,
    versions,
    recorder,
    signal: AbortSignal.timeout(CHANGES_TIMEOUT_MS),
  };
  const ackTimes: number[] = [];
  for (let sent = 0; sent < changes && !options.signal.aborted; sent += 1) {
    const startedAt = performance.now();
    const version = versions.takeNext(1);
    await sendVersion(options, version);
    if (versions.readNewest() === version) {
      ackTimes.push(performance.now() - startedAt);
    }
  }
  return ackTimes.sort((left, right) => left - right);
}

/** Ends a member, empties its disk, and waits until it has a vote again. */
async function measureReplacement({
  deployment,
  folder,
}: Measurement): Promise<number | undefined> {
  const member = deployment.vms[1]!;
  member.signal('SIGKILL');
  await member.awaitEnd(KILL_WAIT_MS);
  member.clearDisk();
  const startedAt = Date.now();
  member.start('scheduled');
  const promotedAt = await awaitPromotion({
    logs: deployment.vms.map(({vm: {ip}}) => join(folder, `${ip}.log`)),
    node: member.vm.ip,
    since: startedAt,
    timeoutMs: RETURN_TIMEOUT_MS,
  });
  return promotedAt === undefined ? undefined : promotedAt - startedAt;
}

/** Ends and starts all VMs, and waits until each has answered a read. */
async function measureStart({
  deployment,
  reader,
}: Measurement): Promise<number | undefined> {
  const {vms} = deployment;
  vms.forEach(vm => vm.signal('SIGKILL'));
  await Promise.all(vms.map(vm => vm.awaitEnd(KILL_WAIT_MS)));
  const startedAt = performance.now();
  vms.forEach(vm => vm.start('scheduled'));
  const times = await Promise.all(
    deployment.listControls().map(async control => {
      while (performance.now() - startedAt < RETURN_TIMEOUT_MS) {
        if (await reader.readOnce(control)) {
          return performance.now() - startedAt;
        }
        await delay(POLL_MS);
      }
      return Infinity;
    }),
  );
  const longest = Math.max(...times);
  return Number.isFinite(longest) ? longest : undefined;
}

function measureUsage(vm: VmProcess): void {
  if (vm.vm.dataFolder !== null) {
    vm.measureMemory();
    vm.measureDataFolder();
  }
}

function readUsage(
  events: readonly RecordedEvent[],
): Pick<DocumentCost, 'peakMb' | 'folderMb'> {
  const peaks = listEvents(events, 'memoryMeasured').map(
    ({peakBytes}) => peakBytes,
  );
  const sizes = listEvents(events, 'dataFolderMeasured').map(
    ({bytes}) => bytes,
  );
  const toMegabytes = (values: readonly number[]): number =>
    Math.max(0, ...values) / BYTES_PER_MEGABYTE;
  return {peakMb: toMegabytes(peaks), folderMb: toMegabytes(sizes)};
}
