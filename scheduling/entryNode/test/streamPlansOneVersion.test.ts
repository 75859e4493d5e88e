import fc from 'fast-check';
import t from 'tap';

import {drawPlan, isInTouch, RUNS, SEED} from './drawPlan.js';
import {listLost, runPlan, STEADY_MS} from './streamPlan.js';

// Guards against streams of the only version that are refused after any disturbances
// of one entry at a time.
t.test('all streams of the only version go on', async t => {
  const plans = drawPlan().map(plan => ({
    ...plan,
    versions: [{at: 0, versions: ['v1']}],
  }));
  fc.assert(
    fc.property(plans, plan => {
      const counted = runPlan(plan).filter(
        ({stream}) => stream.at >= STEADY_MS && isInTouch(plan, stream),
      );
      return listLost(counted).length === 0;
    }),
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
  t.pass(`${RUNS} plans of seed ${SEED}`);
});
