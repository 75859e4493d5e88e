import t from 'tap';

import {hashToFraction, jitterDelay} from '../src/index.js';

const KEYS = Array.from({length: 10_000}, (_, index) => `request-${index}`);

t.test('fractions are distributed evenly', async t => {
  const buckets = new Array<number>(10).fill(0);
  KEYS.map(hashToFraction).forEach(fraction => {
    buckets[Math.floor(fraction * 10)]! += 1;
  });
  t.ok(buckets.every(count => count > 900 && count < 1_100));
});

t.test('delays lie between the base and twice the base', async t => {
  const delays = KEYS.map(key => jitterDelay({baseMs: 1_000, key}));
  t.ok(delays.every(delayMs => delayMs >= 1_000 && delayMs <= 2_000));
  t.ok(new Set(delays).size > 900);
  t.equal(jitterDelay({baseMs: 1_000, key: 'a'}), computeExpectedDelay('a'));
});

function computeExpectedDelay(key: string): number {
  return Math.round(1_000 * (1 + hashToFraction(key)));
}
