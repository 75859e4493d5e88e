import t from 'tap';

import {createLeaveFixture, OTHER, SELF} from './leaveFixture.js';
import type {LeaveFixture} from './leaveFixture.js';

const SHORT_PAUSE_MS = 1_400;
const LONG_PAUSE_MS = 1_800;

/** Creates an entry that catches up after a pause. */
function createPaused(): LeaveFixture {
  const fixture = createLeaveFixture();
  fixture.list(SELF, OTHER);
  fixture.run(100);
  pause(fixture, LONG_PAUSE_MS);
  return fixture;
}

function pause({clock, loop}: LeaveFixture, durationMs: number): void {
  clock.advance(durationMs);
  loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
}

// Guards against an overloaded entry that never dispatches again.
t.test('short pauses in series do not restart a catch-up', async t => {
  const fixture = createPaused();
  t.equal(fixture.loop.view.leaveCatchUp.kind, 'catchingUp');
  pause(fixture, SHORT_PAUSE_MS);
  t.equal(fixture.loop.view.leaveCatchUp.kind, 'current');
});

t.test('a long pause restarts a catch-up', async t => {
  const fixture = createPaused();
  pause(fixture, LONG_PAUSE_MS);
  t.equal(fixture.loop.view.leaveCatchUp.kind, 'catchingUp');
});
