import fc from 'fast-check';
import t from 'tap';

import {drawPlan, RUNS, SEED} from './drawPlan.js';
import {listJoined, runPlan} from './streamPlan.js';

// Guards against joined streams whatever happens to one entry at a time.
t.test('no stream is joined in any order of events', async t => {
  fc.assert(
    fc.property(drawPlan(), plan => listJoined(runPlan(plan)).length === 0),
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
  t.pass(`${RUNS} plans of seed ${SEED}`);
});
