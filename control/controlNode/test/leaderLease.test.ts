import t from 'tap';

import {createControlFixture, createHeartbeat} from './fixture.js';

const PAST_LEADER_LEASE_MS = 5_000;

t.test('a leader with an expired lease renews no entry lease', async t => {
  const fixture = createControlFixture();
  t.match(fixture.ask('e0', createHeartbeat('e0')), [
    {kind: 'configurationUpdate'},
  ]);
  // The process is frozen: time passes and no timer fires.
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  t.same(fixture.ask('e0', createHeartbeat('e0')), []);
  t.equal(fixture.node.view.role.kind, 'leader');
});

t.test('a leader renews entry leases after a quorum answers', async t => {
  const fixture = createControlFixture();
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  fixture.advance(1);
  t.match(fixture.ask('e0', createHeartbeat('e0')), [
    {kind: 'configurationUpdate'},
  ]);
});
