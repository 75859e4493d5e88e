import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryController} from '@gentianshunt/entryModel';

import type {Cell} from './cells.js';
import {createDeployment} from './deployment.js';
import type {Deployment} from './deployment.js';
import {injectFault, RACED_COMMAND_NUMBER} from './faults.js';
import {checkTrace} from './invariants.js';
import {readWeight} from './objects.js';
import type {Violation} from './invariants.js';
import type {Step, StepContext} from './steps.js';
import type {TraceEvent} from './trace.js';

const SETUP_AT_MS: Milliseconds = 2_500;
const LOAD_FROM_MS: Milliseconds = 5_000;
const CALL_INTERVAL_MS: Milliseconds = 150;
const CALLS = 70;
/** Time from the start of the load after which the fault is injected. */
const FAULT_AFTER_MS: Milliseconds = 500;
const LEAVING_AFTER_MS: Milliseconds = 5_000;
const END_AFTER_MS: Milliseconds = 16_000;
const SAMPLE_INTERVAL_MS: Milliseconds = 500;

/** The result of a cell. */
export type CellResult =
  | {
      readonly kind: 'run';
      readonly violations: readonly Violation[];
      readonly answered: number;
      /** Requests whose callers still wait at the end of the cell. */
      readonly openRequests: readonly string[];
      readonly trace: readonly TraceEvent[];
    }
  | {readonly kind: 'notCovered'; readonly reason: string};

/**
 * Runs a cell: sets up the deployment, applies the load, injects the fault when
 * its step is first reached, and checks every invariant.
 */
export function runCell(
  cell: Cell,
  createControllers?: () => readonly EntryController[],
): CellResult {
  if (cell.notCoveredReason !== null) {
    return {kind: 'notCovered', reason: cell.notCoveredReason};
  }
  let isInjected = false;
  let isInjecting = false;
  const onStep = (step: Step, context: StepContext): void => {
    const now = deployment.scheduler.clock.readMonotonic();
    const isDue = now >= LOAD_FROM_MS + FAULT_AFTER_MS;
    if (!isInjected && !isInjecting && isDue && step === cell.step) {
      isInjecting = true;
      isInjected = injectCellFaults(deployment, cell, context);
      isInjecting = false;
    }
  };
  const deployment = createDeployment({
    onStep,
    ...(createControllers === undefined ? {} : {createControllers}),
  });
  scheduleLoad(deployment);
  deployment.start();
  deployment.scheduler.runUntil(LOAD_FROM_MS + END_AFTER_MS);
  sampleLeader(deployment);
  return isInjected
    ? {
        kind: 'run',
        violations: checkTrace(deployment.trace),
        answered: deployment.callers.answered,
        openRequests: deployment.callers.listOpen(),
        trace: deployment.trace,
      }
    : {kind: 'notCovered', reason: 'the step was not reached'};
}

/**
 * Records the control leader's configuration at the end of a cell, so that the
 * check covers whether the leader still has every accepted command.
 */
function sampleLeader({controls, scheduler, record}: Deployment): void {
  const [leader] = controls
    .filter(({process}) => process.isAlive)
    .filter(({node}) => node.view.role.kind === 'leader')
    .sort((a, b) => b.node.view.ballot.term - a.node.view.ballot.term);
  if (leader === undefined) {
    return;
  }
  const {process, node} = leader;
  record({
    at: scheduler.clock.readMonotonic(),
    kind: 'configuration',
    entry: process.id,
    incarnation: `${process.id}/${process.incarnation}`,
    version: node.view.applied.version,
    weight: readWeight(node.view.configuration),
    isServing: true,
  });
}

function injectCellFaults(
  deployment: Deployment,
  cell: Cell,
  context: StepContext,
): boolean {
  const isInjected = injectFault(deployment, context, cell.fault);
  if (isInjected) {
    for (const {afterMs, fault} of cell.laterFaults) {
      deployment.scheduler.schedule(afterMs, () => {
        injectFault(deployment, {}, fault);
      });
    }
  }
  return isInjected;
}

/** Schedules the calls, commands and leaving endpoint of every cell. */
function scheduleLoad(deployment: Deployment): void {
  const {scheduler, operators, callers, entries} = deployment;
  scheduler.schedule(SETUP_AT_MS, () => operators.setUp(1));
  for (let index = 0; index < CALLS; index += 1) {
    scheduler.schedule(LOAD_FROM_MS + index * CALL_INTERVAL_MS, () => {
      const hasKey = index % 4 === 1;
      const disconnectsEarly = index % 5 === 3;
      callers.start({
        name: `call${index}`,
        key: hasKey ? `key${index}` : null,
        tier: index % 2 === 0 ? 'gold' : 'bronze',
        tokens: hasKey ? 3 : 6 + (index % 7),
        disconnectAfterMs: disconnectsEarly ? 90 : null,
      });
    });
  }
  const commandAt = LOAD_FROM_MS + FAULT_AFTER_MS + 100;
  scheduler.schedule(commandAt, () => operators.setWeight(2, 'first', 10));
  scheduler.schedule(commandAt + 600, () =>
    operators.setWeight(RACED_COMMAND_NUMBER, 'first', 11),
  );
  scheduler.schedule(LOAD_FROM_MS + LEAVING_AFTER_MS, () =>
    deployment.startLeaving('engine-0'),
  );
  const sample = (): void => {
    entries.forEach(entry => entry.sample());
    scheduler.schedule(SAMPLE_INTERVAL_MS, sample);
  };
  scheduler.schedule(LOAD_FROM_MS, sample);
}
