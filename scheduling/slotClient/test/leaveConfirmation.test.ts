import t from 'tap';

import {WITHDRAWAL_MS} from '../src/index.js';
import {createLeaveFixture, ENDPOINT, OTHER, SELF} from './leaveFixture.js';
import type {LeaveFixture} from './leaveFixture.js';

const REFUSED_AFTER_MS = 700;

/** Creates an entry that has refused a leave which nobody confirmed. */
function createRefusal(): LeaveFixture {
  const fixture = createLeaveFixture();
  fixture.list(SELF, OTHER);
  fixture.loop.post({kind: 'endpointLeft', endpoint: ENDPOINT});
  fixture.run(REFUSED_AFTER_MS);
  return fixture;
}

// Guards against a leave that is never answered once the entry is alone.
t.test('an entry that became alone answers a refused leave', async t => {
  const {loop, list, listAnswers} = createRefusal();
  list(SELF);
  loop.post({kind: 'endpointLeft', endpoint: ENDPOINT});
  t.same(listAnswers(), [false, true]);
  t.equal(loop.view.unconfirmedLeaves.size, 0);
});

t.test('an entry that became alone settles what it refused', async t => {
  const {loop, list, run, listAnswers} = createRefusal();
  list(SELF);
  run(100);
  t.same(listAnswers(), [false, true]);
  t.equal(loop.view.unconfirmedLeaves.size, 0);
});

// Guards against an endpoint that waits for a leave that was dropped.
t.test('a leave that is forgotten is answered', async t => {
  const {loop, run, listAnswers} = createRefusal();
  run(WITHDRAWAL_MS);
  t.same(listAnswers(), [false, false]);
  t.equal(loop.view.unconfirmedLeaves.size, 0);
});
