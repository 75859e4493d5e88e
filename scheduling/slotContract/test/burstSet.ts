/** Plain sets that were overloaded for a while. */
import t from 'tap';

import {createLargeSet} from './largeSet.js';
import type {LargeSet} from './largeSet.js';

const ENTRIES = 83;
const ENDPOINTS = 5;
const CONCURRENCY = 6;
const SERVICE_MS = 21;
const CAPACITY_PER_SECOND = (ENDPOINTS * CONCURRENCY * 1_000) / SERVICE_MS;
const BURST_MS = 2_000;
export const BURST_LOAD = 1.5;
const RECOVERY_MS = 3_000;
const MEASURED_MS = 2_000;

/** Overloads a plain set for a while; then it gets a part of what it processes. */
export function createAfterBurst(load: number, delayMs: number): LargeSet {
  const set = createLargeSet({
    entries: ENTRIES,
    endpoints: ENDPOINTS,
    concurrency: CONCURRENCY,
    requestsPerSecond: load * CAPACITY_PER_SECOND,
    serviceMs: SERVICE_MS,
    delayMs,
    leaderSilence: {kind: 'useFallbackCapacity'},
    service: {kind: 'plain', service: 'ledger'},
    comesBack: true,
  });
  set.runArrivals(BURST_MS, BURST_LOAD * CAPACITY_PER_SECOND);
  set.runArrivals(RECOVERY_MS);
  return set;
}

/** Guards against a set that sheds for want of grants while its endpoints are free. */
export function checkAfterBurst(delayMs: number): void {
  for (const load of [1 / 6, 1 / 2, 0.9]) {
    t.test(
      `after a burst nothing is shed at ${load.toFixed(2)} of the load, with messages of ${delayMs} ms`,
      async t => {
        const set = createAfterBurst(load, delayMs);
        const {refused} = set;
        set.waits.length = 0;
        set.runArrivals(MEASURED_MS);
        t.equal(set.refused - refused, 0);
        const expected = load * CAPACITY_PER_SECOND * (MEASURED_MS / 1_000);
        const part = set.waits.length / expected;
        t.ok(part > 0.95, `${part.toFixed(3)} of the arrivals dispatched`);
      },
    );
  }
}
