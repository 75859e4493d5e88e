import t from 'tap';

import {
  createOverload,
  DEPLOYMENTS,
  measureUse,
  MIN_USE,
} from './overloadedSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

const SAMPLES = 150;

t.setTimeout(TEST_TIMEOUT_MS);
// Guards against endpoints with nothing to do while requests wait: their
// capacity comes back to the leader late, and is granted late.
for (const deployment of DEPLOYMENTS) {
  for (const delayMs of [25, 200]) {
    const {entries, endpoints} = deployment;
    t.test(
      `${entries} entries, ${endpoints} endpoints, messages of ${delayMs} ms`,
      async t => {
        const set = createOverload(deployment, delayMs);
        const use = measureUse(set, deployment, SAMPLES);
        t.ok(use > MIN_USE, `${use.toFixed(3)} of the capacity is in use`);
      },
    );
  }
}
