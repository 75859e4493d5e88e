import t from 'tap';

import {createControlFixture, createHeartbeat} from './fixture.js';

const PAST_LEADER_LEASE_MS = 5_000;

t.test('a frozen leader renews no lease before a quorum answers', async t => {
  const fixture = createControlFixture();
  t.match(fixture.ask('e0', createHeartbeat('e0')), [
    {kind: 'configurationUpdate'},
  ]);
  // The clock runs on while the process stands still.
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  t.same(fixture.ask('e0', createHeartbeat('e0')), []);
  t.equal(fixture.node.view.role.kind, 'leader');
});

t.test('a leader that a quorum follows renews leases again', async t => {
  const fixture = createControlFixture();
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  fixture.advance(1);
  t.match(fixture.ask('e0', createHeartbeat('e0')), [
    {kind: 'configurationUpdate'},
  ]);
});
