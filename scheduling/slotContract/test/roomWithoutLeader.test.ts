import t from 'tap';

import {LEADER} from './largeSet.js';
import type {LargeSet} from './largeSet.js';
import {
  createOverload,
  DEPLOYMENTS,
  measureUse,
  MIN_USE,
} from './overloadedSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

t.setTimeout(TEST_TIMEOUT_MS);
/** What happens to the set leader, and for how long its effect is measured. */
const TROUBLES: readonly {
  readonly name: string;
  readonly samples: number;
  inject(set: LargeSet): void;
}[] = [
  {
    name: 'stands still for a second',
    samples: 50,
    inject: set => set.entries.find(LEADER).freeze(),
  },
  {
    name: 'is killed',
    samples: 150,
    inject: set => set.entries.find(LEADER).kill(),
  },
];

// Guards against endpoints with nothing to do while their set has no leader.
for (const deployment of DEPLOYMENTS) {
  for (const {name, samples, inject} of TROUBLES) {
    const {entries} = deployment;
    t.test(`${entries} entries whose set leader ${name}`, async t => {
      const set = createOverload(deployment, 25);
      inject(set);
      const use = measureUse(set, deployment, samples);
      t.ok(use > MIN_USE, `${use.toFixed(3)} of the capacity is in use`);
    });
  }
}
