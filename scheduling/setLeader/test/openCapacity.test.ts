import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  decideOpenCapacity,
  limitOpenTargets,
  MAX_OPEN_TARGETS,
  MIN_OPEN_LIMIT,
} from '../src/openCapacity.js';
import type {SetLoad} from '../src/openCapacity.js';

/** Creates a set of endpoints with 6 slots each, all used alike. */
function createLoad(
  endpoints: number,
  running: number,
  entries = 10,
  concurrency = 6,
): SetLoad {
  return {
    endpoints: Array.from({length: endpoints}, (_, index) => ({
      target: {endpoint: toIdentifier(`e${index}`), url: `http://e${index}`},
      concurrency,
      rate: 1,
      occupied: 0,
      canQueue: true,
    })),
    running,
    entries,
  };
}

t.test('a set is open up to half of its capacity', async t => {
  t.not(decideOpenCapacity(createLoad(5, 14.9)), null);
  t.equal(decideOpenCapacity(createLoad(5, 15)), null);
});

t.test('a set without usable endpoints is not open', async t => {
  t.equal(decideOpenCapacity(createLoad(0, 0)), null);
  t.equal(decideOpenCapacity(createLoad(5, 0, 10, 0)), null);
});

t.test('few entries may run more requests than many', async t => {
  const few = decideOpenCapacity(createLoad(5, 0, 3));
  const many = decideOpenCapacity(createLoad(5, 0, 300));
  t.equal(few?.limit, 5);
  t.equal(many?.limit, MIN_OPEN_LIMIT);
});

t.test('the leader gets as many reports of few entries as of many', async t => {
  for (const entries of [12, 96, 300, 980]) {
    const open = decideOpenCapacity(createLoad(25, 0, entries));
    t.equal((entries * 1_000) / open!.reportIntervalMs, 200);
  }
});

t.test('all endpoints of a large set are named to some entry', async t => {
  const open = decideOpenCapacity(createLoad(40, 0))!;
  const named = new Set<string>();
  for (let index = 0; index < 100; index += 1) {
    const {targets} = limitOpenTargets(open, toIdentifier(`entry-${index}`));
    t.equal(targets.length, MAX_OPEN_TARGETS);
    targets.forEach(({endpoint}) => named.add(endpoint));
  }
  t.equal(named.size, 40);
});
