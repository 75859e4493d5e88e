import type {EntryController} from '@gentianshunt/entryModel';
import t from 'tap';

import {
  formatCell,
  INVARIANTS,
  listCells,
  listFaultyTraces,
  runCell,
} from '../src/index.js';
import type {InvariantName} from '../src/index.js';

import {
  createChangeDropping,
  createClaimIgnoring,
  createDoubleDispatching,
  createEventSkipping,
  createFalseNotRun,
  createHighestTierShedding,
  createImmediateExit,
  createLeavingIgnoring,
} from './faultyControllers.js';

t.test('every checker reports a trace that violates its invariant', async t => {
  for (const {name, check} of INVARIANTS) {
    const faulty = listFaultyTraces().filter(({violates}) => violates === name);
    t.ok(faulty.length > 0, `there is a trace for ${name}`);
    for (const {trace} of faulty) {
      t.ok(check(trace).length > 0, `${name} is reported as violated`);
      t.strictSame(check([]), [], `${name} holds for an empty trace`);
    }
  }
});

interface FaultyRun {
  readonly cell: string;
  readonly violates: InvariantName;
  readonly createControllers: () => readonly EntryController[];
}

const FAULTY_RUNS: readonly FaultyRun[] = [
  {
    cell: 'middle / callerGone',
    violates: 'dispatchedAtMostOnce',
    createControllers: createDoubleDispatching,
  },
  {
    cell: 'middle / engineSlow + burst',
    violates: 'higherTierNotShedFirst',
    createControllers: createHighestTierShedding,
  },
  {
    cell: 'middle / engineCut',
    violates: 'wholeAnswerToOwnRequest',
    createControllers: createEventSkipping,
  },
  {
    cell: 'middle / killed endpoint',
    violates: 'notRunIsTrue',
    createControllers: createFalseNotRun,
  },
  {
    cell: 'claimed / callerResends',
    violates: 'nonIdempotentRunsAtMostOnce',
    createControllers: createClaimIgnoring,
  },
  {
    cell: 'middle / callerGone',
    violates: 'leavingEndpointGetsNoWork',
    createControllers: createLeavingIgnoring,
  },
  {
    cell: 'dispatched / shutdown entry',
    violates: 'shutdownCutsNothing',
    createControllers: createImmediateExit,
  },
  {
    cell: 'answered / operatorsRace',
    violates: 'configurationInForceAndKept',
    createControllers: createChangeDropping,
  },
];

t.test('every checker detects a faulty controller', async t => {
  for (const {cell, violates, createControllers} of FAULTY_RUNS) {
    const found = listCells().find(each => formatCell(each) === cell)!;
    const result = runCell(found, createControllers);
    const violated =
      result.kind === 'run'
        ? result.violations.map(violation => violation.invariant)
        : [];
    t.ok(violated.includes(violates), `${violates} is violated in ${cell}`);
  }
});
