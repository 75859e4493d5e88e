import t from 'tap';

import {createLargeSet} from './largeSet.js';
import type {LargeSet} from './largeSet.js';

const ENDPOINTS = 5;
const CONCURRENCY = 6;
const SERVICE_MS = 21;
const CAPACITY_PER_SECOND = (ENDPOINTS * CONCURRENCY * 1_000) / SERVICE_MS;
const LOAD = 0.6;
/** One request in forty fails. */
const FAILURE_INTERVAL = 40;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 3_000;
/** What is left of an objective of 148 ms. */
const MAX_MEAN_WAIT_MS = 120;

/** Creates a plain set whose endpoints fail one request in so many. */
function createFailingSet(entries: number): LargeSet {
  const set = createLargeSet({
    entries,
    endpoints: ENDPOINTS,
    concurrency: CONCURRENCY,
    requestsPerSecond: LOAD * CAPACITY_PER_SECOND,
    serviceMs: SERVICE_MS,
    delayMs: 25,
    failureInterval: FAILURE_INTERVAL,
    leaderSilence: {kind: 'useFallbackCapacity'},
    service: {kind: 'plain', service: 'ledger'},
  });
  set.runArrivals(WARM_UP_MS);
  return set;
}

// Guards against endpoints that are hardly used because a few of many entries met a failure.
for (const entries of [12, 83, 200]) {
  t.test(
    `${entries} entries go on using endpoints that fail one request in forty`,
    async t => {
      const set = createFailingSet(entries);
      set.waits.length = 0;
      set.runArrivals(MEASURED_MS);
      const expected = LOAD * CAPACITY_PER_SECOND * (MEASURED_MS / 1_000);
      const part = set.waits.length / expected;
      t.ok(part > 0.95, `${part.toFixed(3)} of the arrivals dispatched`);
      const meanMs =
        set.waits.reduce((sum, wait) => sum + wait, 0) / set.waits.length;
      t.ok(meanMs < MAX_MEAN_WAIT_MS, `mean wait ${meanMs.toFixed(0)} ms`);
    },
  );
}
