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
  createClaimless,
  createDeafToLeaving,
  createDenying,
  createForgetful,
  createHasty,
  createSkipping,
  createTwiceDispatching,
  createUpsideDown,
} from './faultyControllers.js';

t.test('every checker turns red on a trace that breaks it', async t => {
  for (const {name, check} of INVARIANTS) {
    const faulty = listFaultyTraces().filter(({breaks}) => breaks === name);
    t.ok(faulty.length > 0, `there is a trace for ${name}`);
    for (const {trace} of faulty) {
      t.ok(check(trace).length > 0, `${name} is seen to be broken`);
      t.strictSame(check([]), [], `${name} holds for nothing`);
    }
  }
});

interface FaultyRun {
  readonly cell: string;
  readonly breaks: InvariantName;
  readonly createControllers: () => readonly EntryController[];
}

const FAULTY_RUNS: readonly FaultyRun[] = [
  {
    cell: 'middle / callerGone',
    breaks: 'dispatchedAtMostOnce',
    createControllers: createTwiceDispatching,
  },
  {
    cell: 'middle / engineSlow + burst',
    breaks: 'higherTierNotShedFirst',
    createControllers: createUpsideDown,
  },
  {
    cell: 'middle / engineCut',
    breaks: 'wholeAnswerToOwnRequest',
    createControllers: createSkipping,
  },
  {
    cell: 'middle / killed endpoint',
    breaks: 'notRunIsTrue',
    createControllers: createDenying,
  },
  {
    cell: 'claimed / callerResends',
    breaks: 'nonIdempotentRunsAtMostOnce',
    createControllers: createClaimless,
  },
  {
    cell: 'middle / callerGone',
    breaks: 'leavingEndpointGetsNoWork',
    createControllers: createDeafToLeaving,
  },
  {
    cell: 'dispatched / shutdown entry',
    breaks: 'shutdownCutsNothing',
    createControllers: createHasty,
  },
  {
    cell: 'answered / operatorsRace',
    breaks: 'configurationInForceAndKept',
    createControllers: createForgetful,
  },
];

t.test('every invariant is broken by a faulty controller', async t => {
  for (const {cell, breaks, createControllers} of FAULTY_RUNS) {
    const found = listCells().find(each => formatCell(each) === cell)!;
    const result = runCell(found, createControllers);
    const broken =
      result.kind === 'run'
        ? result.violations.map(violation => violation.invariant)
        : [];
    t.ok(broken.includes(breaks), `${breaks} in ${cell}`);
  }
});
