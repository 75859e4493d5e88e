import {setTimeout as delay} from 'node:timers/promises';

import type {DutyCycle} from './recordedEvent.js';
import type {VmProcess} from './vmProcess.js';

/**
 * Lets VMs stand still in turns until the signal aborts; the first turns are
 * spread over a cycle, and all VMs run at the end.
 */
export async function runInTurns(
  vms: readonly VmProcess[],
  duty: DutyCycle,
  signal: AbortSignal,
): Promise<void> {
  const cycleMs = duty.runMs + duty.stopMs;
  await Promise.all(
    vms.map((vm, index) =>
      runOneInTurns(vm, duty, (cycleMs * index) / vms.length, signal),
    ),
  );
}

async function runOneInTurns(
  vm: VmProcess,
  {runMs, stopMs}: DutyCycle,
  firstRunMs: number,
  signal: AbortSignal,
): Promise<void> {
  await wait(firstRunMs, signal);
  while (!signal.aborted) {
    vm.signal('SIGSTOP');
    await wait(stopMs, signal);
    vm.signal('SIGCONT');
    await wait(runMs, signal);
  }
}

/** Waits for a time, or until the signal aborts. */
async function wait(milliseconds: number, signal: AbortSignal): Promise<void> {
  await delay(milliseconds, undefined, {signal}).catch(() => undefined);
}
