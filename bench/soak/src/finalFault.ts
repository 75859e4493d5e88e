import {setTimeout as delay} from 'node:timers/promises';

import type {Random} from '@gentianshunt/policyBench';

import type {ConfigurationReader} from './configurationReaders.js';
import type {SoakDeployment} from './deployment.js';
import {drawChance, drawIndex} from './draws.js';
import {sendVersion} from './operator.js';
import type {OperatorOptions} from './operator.js';
import type {FinalFault} from './recordedEvent.js';
import type {VmProcess} from './vmProcess.js';

/** What the final fault acts on. */
export interface FinalFaultContext {
  readonly deployment: SoakDeployment;
  readonly operator: OperatorOptions;
  readonly reader: ConfigurationReader;
  /** Time for which the configuration is read at least. */
  readonly readMs: number;
}

const DISK_ONLY_CHANCE = 0.25;
const DISK_LOST_CHANCE = 0.6;
/** Longest wait for the last acknowledgement; the fault comes anyway. */
const LAST_CHANGE_TIMEOUT_MS = 15_000;
const KILL_WAIT_MS = 5_000;
/** Time after which a VM that gives no configuration is given up. */
const READ_BACK_TIMEOUT_MS = 25_000;
const READ_INTERVAL_MS = 60;

/** Draws the final fault of a run. */
export function drawFinalFault(
  random: Random,
  vms: readonly VmProcess[],
): FinalFault {
  const core = vms.filter(hasDisk);
  const lostDisk = core[drawIndex(random, core.length)]!.vm.ip;
  if (drawChance(random, DISK_ONLY_CHANCE)) {
    return {kind: 'diskLost', lostDisk};
  }
  const isDiskLost = drawChance(random, DISK_LOST_CHANCE);
  return {kind: 'allKilled', lostDisk: isDiskLost ? lostDisk : null};
}

/**
 * Sends a last change, injects the fault as soon as it is acknowledged, and
 * reads the configuration at every VM until it comes.
 */
export async function injectFinalFault(
  context: FinalFaultContext,
  fault: FinalFault,
): Promise<void> {
  const {deployment, operator} = context;
  const {vms} = deployment;
  const timeout = AbortSignal.timeout(LAST_CHANGE_TIMEOUT_MS);
  const signal = AbortSignal.any([operator.signal, timeout]);
  await sendVersion({...operator, signal}, operator.versions.takeNext(1));
  operator.recorder.record({kind: 'finalFaultInjected', fault});
  const ended = vms.filter(
    ({vm: {ip}}) => fault.kind === 'allKilled' || ip === fault.lostDisk,
  );
  ended.forEach(vm => vm.signal('SIGKILL'));
  await Promise.all(ended.map(vm => vm.awaitEnd(KILL_WAIT_MS)));
  vms.find(({vm: {ip}}) => ip === fault.lostDisk)?.clearDisk();
  ended.forEach(vm => vm.start('scheduled'));
  await awaitReadBack(context);
}

/** Reads at every VM until a document came and the time is over. */
async function awaitReadBack({
  deployment,
  reader,
  readMs,
}: FinalFaultContext): Promise<void> {
  const startedAt = performance.now();
  await Promise.all(
    deployment.controls.map(async control => {
      let isRead = false;
      let elapsedMs = 0;
      while (elapsedMs < (isRead ? readMs : READ_BACK_TIMEOUT_MS)) {
        isRead = (await reader.readOnce(control)) || isRead;
        await delay(READ_INTERVAL_MS);
        elapsedMs = performance.now() - startedAt;
      }
    }),
  );
}

function hasDisk({vm: {dataFolder}}: VmProcess): boolean {
  return dataFolder !== null;
}
