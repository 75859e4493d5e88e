import t from 'tap';

import {checkPlans, drawPlan} from './drawPlan.js';
import {listJoined, runPlan} from './streamPlan.js';

// Guards against joined streams whatever happens to one entry at a time.
t.test('no stream is joined in any order of events', async t => {
  checkPlans(t, drawPlan(), plan => listJoined(runPlan(plan)).length === 0);
});
