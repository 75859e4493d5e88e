import t from 'tap';

import {BURST_LOAD, createAfterBurst} from './burstSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

/** Requests that an endpoint of this size runs and queues. */
const ENDPOINT_ROOM = 30;

t.setTimeout(TEST_TIMEOUT_MS);

for (const delayMs of [1, 25, 200]) {
  t.test(
    `endpoints of an overloaded plain set get no more than they queue, with messages of ${delayMs} ms`,
    async t => {
      const set = createAfterBurst(BURST_LOAD, delayMs);
      t.ok(set.mostRunning <= ENDPOINT_ROOM, `${set.mostRunning} at once`);
    },
  );
}
