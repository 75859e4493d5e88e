import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

import {createControlFixture, createHeartbeat} from './fixture.js';
import type {ControlFixture} from './fixture.js';

const HEARTBEAT_MS = 350;
const PAST_LEADER_LEASE_MS = 5_000;

t.test('a leader with an expired lease renews no entry lease', async t => {
  const fixture = createControlFixture();
  t.match(fixture.ask('e0', createHeartbeat('e0')), [
    {kind: 'configurationUpdate'},
  ]);
  // The process is frozen: time passes and no timer fires.
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  t.same(fixture.ask('e0', createHeartbeat('e0')), [
    {
      kind: 'leaderUnconfirmed',
      incarnation: 'e0-1',
      sequence: 1,
      reason: 'leaderLeaseLapsed',
    },
  ]);
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

function queryCommands(fixture: ControlFixture): readonly ControlToEntry[] {
  return fixture.ask('e0', {
    kind: 'controlQueryRequest',
    correlation: toIdentifier('query'),
    query: {kind: 'commands', limit: 1},
  });
}

t.test('a suspended leader does not answer a read', async t => {
  const fixture = createControlFixture();
  t.match(queryCommands(fixture), [{kind: 'controlQueryReply'}]);
  fixture.clock.suspend(PAST_LEADER_LEASE_MS);
  t.same(queryCommands(fixture), []);
  fixture.advance(HEARTBEAT_MS);
  fixture.advance(HEARTBEAT_MS);
  t.match(queryCommands(fixture), [{kind: 'controlQueryReply'}]);
});

t.test('a time of day that is set back ends no lease', async t => {
  const fixture = createControlFixture();
  fixture.clock.suspend(-PAST_LEADER_LEASE_MS);
  t.match(queryCommands(fixture), [{kind: 'controlQueryReply'}]);
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  t.same(queryCommands(fixture), [], 'the monotonic clock ends it');
});
