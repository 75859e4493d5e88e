import t from 'tap';

import {createLease, ENDED_LEASE, isLeaseValid} from '../src/index.js';
import type {Instant} from '../src/index.js';

const LEASE_MS = 3_000;

function createInstant(monotonicMs: number, wallMs: number): Instant {
  return {monotonic: monotonicMs, wall: new Date(wallMs)};
}

t.test('a lease ends by the first of the two clocks', async t => {
  const lease = createLease(createInstant(100, 50_000), LEASE_MS);
  const cases = [
    {name: 'just before the end', now: [3_099, 52_999], isValid: true},
    {name: 'at the end', now: [3_100, 53_000], isValid: false},
    {name: 'after a suspension', now: [200, 60_100], isValid: false},
    {name: 'a time of day set forward', now: [200, 53_100], isValid: false},
    {name: 'a time of day set back', now: [3_099, 1_000], isValid: true},
    {name: 'set back, at the end', now: [3_100, 1_000], isValid: false},
  ] as const;
  for (const {name, now, isValid} of cases) {
    const [monotonicMs, wallMs] = now;
    const instant = createInstant(monotonicMs, wallMs);
    t.equal(isLeaseValid(lease, instant), isValid, name);
  }
  t.notOk(isLeaseValid(ENDED_LEASE, createInstant(0, 1)), 'none was granted');
});
