import type {Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import t from 'tap';

import {createOperatedDeployment} from './operatedDeployment.js';
import type {OperatedDeployment} from './operatedDeployment.js';

/** How long an operator waits for a response before the next try. */
const TRY_MS: Milliseconds = 1_000;
const ENTRIES = 6;
const LONG_MS: Milliseconds = 60_000;
const RESTART_MS: Milliseconds = 300;
const RELEASE = 7;

/** What happens to some entries, while the control daemons run undisturbed. */
const FAULTS = ['frozen', 'cutOff', 'killed', 'restarted', 'resumed'] as const;
type Fault = (typeof FAULTS)[number];

/** When the faults begin, within the interval of the heartbeats. */
const PHASES_MS = [0, 170, 340, 495];
/** How long after that the operator sends the change. */
const DELAYS_MS = [5, 300];

interface Case {
  readonly fault: Fault;
  readonly count: number;
  readonly phaseMs: Milliseconds;
  readonly delayMs: Milliseconds;
}

function* iterateCases(): IterableIterator<Case> {
  for (const fault of FAULTS) {
    for (const count of [1, 4]) {
      for (const phaseMs of PHASES_MS) {
        for (const delayMs of DELAYS_MS) {
          yield {fault, count, phaseMs, delayMs};
        }
      }
    }
  }
}

function applyFault(
  {entries, network, scheduler}: OperatedDeployment,
  index: number,
  fault: Fault,
): void {
  const host = entries[index]!;
  switch (fault) {
    case 'frozen':
      host.process.freeze(LONG_MS);
      return;
    case 'cutOff':
      network.partition(host.process.id, 'both');
      return;
    case 'killed':
      host.kill();
      return;
    case 'restarted':
      host.kill();
      scheduler.schedule(RESTART_MS, () => {
        host.process.restart();
        host.start();
      });
      return;
    case 'resumed':
      host.process.freeze(RESTART_MS);
      return;
    default:
      assertNever(fault, 'applyFault');
  }
}

/** Sends a change to the last entry; returns how long that took. */
function measureChange({
  fault,
  count,
  phaseMs,
  delayMs,
}: Case): Milliseconds | undefined {
  const deployment = createOperatedDeployment(ENTRIES);
  const {scheduler, entries} = deployment;
  const run = (durationMs: Milliseconds): void =>
    scheduler.runUntil(scheduler.clock.readMonotonic() + durationMs);
  run(phaseMs);
  for (let index = 0; index < count; index += 1) {
    applyFault(deployment, index, fault);
  }
  run(delayMs);
  deployment.change(entries.at(-1)!, RELEASE);
  run(2 * TRY_MS);
  return deployment.readAcknowledgedMs(RELEASE);
}

t.test(
  'a change at an entry that runs is not acknowledged after its operator has left, whatever became of other entries',
  async t => {
    for (const each of iterateCases()) {
      const tookMs = measureChange(each);
      if (tookMs === undefined || tookMs >= TRY_MS) {
        t.fail(`${tookMs ?? 'never'} ms`, {each});
      }
    }
    t.pass('all were in time');
  },
);
