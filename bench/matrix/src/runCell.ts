import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryController} from '@gentianshunt/entryModel';

import type {Cell} from './cells.js';
import {createDeployment} from './deployment.js';
import type {Deployment} from './deployment.js';
import {RACED_NUMBER, strike} from './faults.js';
import {checkTrace} from './invariants.js';
import {readWeight} from './objects.js';
import type {Violation} from './invariants.js';
import type {Step, StepContext} from './steps.js';
import type {TraceEvent} from './trace.js';

const SETUP_AT_MS: Milliseconds = 2_500;
const LOAD_FROM_MS: Milliseconds = 5_000;
const CALL_INTERVAL_MS: Milliseconds = 150;
const CALLS = 70;
/** When the fault may strike, from the start of the load. */
const ARMED_AFTER_MS: Milliseconds = 500;
const LEAVING_AFTER_MS: Milliseconds = 5_000;
const END_AFTER_MS: Milliseconds = 16_000;
const SAMPLE_INTERVAL_MS: Milliseconds = 500;

/** What came of a cell. */
export type CellResult =
  | {
      readonly kind: 'run';
      readonly violations: readonly Violation[];
      readonly answered: number;
      /** Requests whose callers still wait at the end of the cell. */
      readonly open: readonly string[];
      readonly trace: readonly TraceEvent[];
    }
  | {readonly kind: 'notCovered'; readonly reason: string};

/** Runs a cell and checks every invariant. */
export function runCell(
  cell: Cell,
  createControllers?: () => readonly EntryController[],
): CellResult {
  if (cell.notCovered !== null) {
    return {kind: 'notCovered', reason: cell.notCovered};
  }
  let hasStruck = false;
  let isStriking = false;
  const onStep = (step: Step, context: StepContext): void => {
    const now = deployment.schedule.clock.readMonotonic();
    const isArmed = now >= LOAD_FROM_MS + ARMED_AFTER_MS;
    if (!hasStruck && !isStriking && isArmed && step === cell.step) {
      isStriking = true;
      hasStruck = strikeCell(deployment, cell, context);
      isStriking = false;
    }
  };
  const deployment = createDeployment({
    onStep,
    ...(createControllers === undefined ? {} : {createControllers}),
  });
  planLoad(deployment);
  deployment.start();
  deployment.schedule.runUntil(LOAD_FROM_MS + END_AFTER_MS);
  sampleLeader(deployment);
  return hasStruck
    ? {
        kind: 'run',
        violations: checkTrace(deployment.trace),
        answered: deployment.callers.answered,
        open: deployment.callers.listOpen(),
        trace: deployment.trace,
      }
    : {kind: 'notCovered', reason: 'the step was not reached'};
}

/** At the end the leader must hold whatever was accepted. */
function sampleLeader({controls, schedule, record}: Deployment): void {
  const [leader] = controls
    .filter(({process}) => process.isAlive)
    .filter(({node}) => node.view.role.kind === 'leader')
    .sort((a, b) => b.node.view.ballot.term - a.node.view.ballot.term);
  if (leader === undefined) {
    return;
  }
  const {process, node} = leader;
  record({
    at: schedule.clock.readMonotonic(),
    kind: 'configuration',
    entry: process.id,
    incarnation: `${process.id}/${process.incarnation}`,
    version: node.view.applied.version,
    weight: readWeight(node.view.configuration),
    isServing: true,
  });
}

function strikeCell(
  deployment: Deployment,
  cell: Cell,
  context: StepContext,
): boolean {
  const hasStruck = strike(deployment, context, cell.fault);
  if (hasStruck) {
    for (const {afterMs, fault} of cell.later) {
      deployment.schedule.plan(afterMs, () => {
        strike(deployment, {}, fault);
      });
    }
  }
  return hasStruck;
}

/** Plans the calls, the commands and a leaving endpoint of every cell. */
function planLoad(deployment: Deployment): void {
  const {schedule, operators, callers, entries} = deployment;
  schedule.plan(SETUP_AT_MS, () => operators.setUp(1));
  for (let index = 0; index < CALLS; index += 1) {
    schedule.plan(LOAD_FROM_MS + index * CALL_INTERVAL_MS, () => {
      const isKeyed = index % 4 === 1;
      const isShort = index % 5 === 3;
      callers.start({
        name: `call${index}`,
        key: isKeyed ? `key${index}` : null,
        tier: index % 2 === 0 ? 'gold' : 'bronze',
        tokens: isKeyed ? 3 : 6 + (index % 7),
        hangUpAfterMs: isShort ? 90 : null,
      });
    });
  }
  const commandAt = LOAD_FROM_MS + ARMED_AFTER_MS + 100;
  schedule.plan(commandAt, () => operators.setWeight(2, 'first', 10));
  schedule.plan(commandAt + 600, () =>
    operators.setWeight(RACED_NUMBER, 'first', 11),
  );
  schedule.plan(LOAD_FROM_MS + LEAVING_AFTER_MS, () =>
    deployment.leave('engine-0'),
  );
  const sample = (): void => {
    entries.forEach(entry => entry.sample());
    schedule.plan(SAMPLE_INTERVAL_MS, sample);
  };
  schedule.plan(LOAD_FROM_MS, sample);
}
