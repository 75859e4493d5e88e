import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';

import {assertNever} from '@gentianshunt/errors';

import type {ConfigurationReader} from './configurationReaders.js';
import type {SoakDeployment} from './deployment.js';
import {sendVersion} from './operator.js';
import type {OperatorOptions} from './operator.js';
import type {FinalFault, Hindrance} from './recordedEvent.js';
import {slowLinks} from './slowLinks.js';
import {runInTurns} from './standStill.js';

/** What the final fault acts on. */
export interface FinalFaultContext {
  readonly deployment: SoakDeployment;
  readonly operator: OperatorOptions;
  readonly reader: ConfigurationReader;
  /** Time for which the configuration is read at least. */
  readonly readMs: number;
}

/** Longest wait for the last acknowledgement; the fault comes anyway. */
const LAST_CHANGE_TIMEOUT_MS = 15_000;
const KILL_WAIT_MS = 5_000;
/** Time after which a VM that gives no configuration is given up. */
const READ_BACK_TIMEOUT_MS = 25_000;
const READ_INTERVAL_MS = 60;

/**
 * Sends a last change, injects the fault as soon as it is acknowledged, and
 * reads the configuration at every VM until it comes. Returns the milliseconds
 * since the VMs that it ended started again.
 */
export async function injectFinalFault(
  context: FinalFaultContext,
  fault: FinalFault,
): Promise<number> {
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
  const startedAt = performance.now();
  const readBack = new AbortController();
  const hindered =
    fault.kind === 'allKilled'
      ? slowReturn(context, fault.hindrance, readBack.signal)
      : undefined;
  await awaitReadBack(context);
  readBack.abort();
  await hindered;
  return performance.now() - startedAt;
}

/** Hinders the VMs until the signal aborts. */
async function slowReturn(
  {deployment, operator: {recorder}}: FinalFaultContext,
  hindrance: Hindrance,
  signal: AbortSignal,
): Promise<void> {
  switch (hindrance.kind) {
    case 'none':
      return;
    case 'standStill':
      return runInTurns(deployment.vms, hindrance.duty, signal);
    case 'slowLinks': {
      const endSlowness = slowLinks(deployment, recorder, hindrance.vm);
      await once(signal, 'abort');
      endSlowness();
      return;
    }
    default:
      return assertNever(hindrance, 'slowReturn');
  }
}

/** Reads at every VM until a document came and the time is over. */
async function awaitReadBack({
  deployment,
  reader,
  readMs,
}: FinalFaultContext): Promise<void> {
  const startedAt = performance.now();
  await Promise.all(
    deployment.listControls().map(async control => {
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
