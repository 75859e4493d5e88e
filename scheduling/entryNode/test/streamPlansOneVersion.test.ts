import t from 'tap';

import {checkPlans, drawPlan, isInTouch} from './drawPlan.js';
import {listLost, runPlan, STEADY_MS} from './streamPlan.js';

// Guards against streams of the only version that are refused after any disturbances
// of one entry at a time.
t.test('all streams of the only version go on', async t => {
  const plans = drawPlan().map(plan => ({
    ...plan,
    versions: [{at: 0, versions: ['v1']}],
  }));
  checkPlans(t, plans, plan => {
    const counted = runPlan(plan).filter(
      ({stream}) => stream.at >= STEADY_MS && isInTouch(plan, stream),
    );
    return listLost(counted).length === 0;
  });
});
