import t from 'tap';

import {INITIAL_BUCKET, takeToken} from '../src/index.js';

const RATE = {burst: 2, loadsPerMinute: 6};
const START_MS = 1_000_000;
const ONE_LOAD_MS = 10_000;

t.test('a bucket allows its burst, then its refill rate', async t => {
  const cases = [
    {name: 'burst', atMs: [0, 0], taken: 2},
    {name: 'one more than the burst', atMs: [0, 0, 0], taken: 2},
    {name: 'after the time of one load', atMs: [0, 0, ONE_LOAD_MS], taken: 3},
    {
      name: 'before the time of one load',
      atMs: [0, 0, ONE_LOAD_MS - 1],
      taken: 2,
    },
    {name: 'refill stops at the burst', atMs: [0, 0, 9e6, 9e6, 9e6], taken: 4},
    {name: 'clock set back', atMs: [0, 0, -9e6, -9e6], taken: 2},
  ];
  for (const {name, atMs, taken} of cases) {
    let bucket = INITIAL_BUCKET;
    let count = 0;
    for (const offset of atMs) {
      const next = takeToken(bucket, RATE, START_MS + offset);
      count += next === undefined ? 0 : 1;
      bucket = next ?? bucket;
    }
    t.equal(count, taken, name);
  }
});
