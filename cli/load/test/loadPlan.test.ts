import t from 'tap';

import {createLoadPlan} from '../src/index.js';
import type {LoadPlanOptions} from '../src/index.js';

function createOptions(changes: Partial<LoadPlanOptions>): LoadPlanOptions {
  return {
    requests: 500,
    durationMs: 1_000,
    seed: 3,
    tiers: ['gold', 'bronze'],
    organisations: ['a', 'b'],
    runName: 'test',
    classes: [
      {
        requestKind: 'draft',
        weight: 2,
        frequency: 9,
        target: {
          kind: 'chat',
          set: 'drafts',
          promptTokens: {from: 1, to: 100},
          maxTokens: {from: 1, to: 10},
        },
        cancelPercent: 70,
        patienceMs: {from: 5, to: 50},
      },
      {
        requestKind: 'issue',
        weight: 1,
        frequency: 1,
        target: {kind: 'service', set: 'registry', path: 'numbers'},
        cancelPercent: 0,
        patienceMs: {from: 1, to: 1},
      },
    ],
    ...changes,
  };
}

t.test('the same seed gives the same plan, another seed another', async t => {
  const plan = createLoadPlan(createOptions({}));
  t.same(createLoadPlan(createOptions({})), plan);
  t.notSame(createLoadPlan(createOptions({seed: 4})), plan);
});

t.test('service calls carry distinct idempotency keys', async t => {
  const keys = createLoadPlan(createOptions({}))
    .filter(call => call.target.kind === 'service')
    .map(call => call.idempotencyKey);
  t.ok(keys.length > 0);
  t.notOk(keys.includes(null));
  t.equal(new Set(keys).size, keys.length);
});

t.test('patience is drawn from the range of the class', async t => {
  const patience = createLoadPlan(createOptions({}))
    .map(call => call.patienceMs)
    .filter(value => value !== null);
  t.ok(patience.every(value => value >= 5 && value <= 50));
});
