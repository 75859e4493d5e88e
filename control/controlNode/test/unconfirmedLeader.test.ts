import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {
  createControlFixture,
  createHeartbeat,
  ENTRY_LEASE_MS,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';
import type {TestMember} from './memberFixture.js';

const PAST_LEADER_LEASE_MS = 5_000;
const LONG_WAIT_MS = ENTRY_LEASE_MS - 500;
const ELECTION_STEPS = 400;
const EXCHANGE_STEPS = 5;

function takeKinds(fixture: ControlFixture): readonly string[] {
  return fixture.takeSent().map(({to, message}) => `${to} ${message.kind}`);
}

t.test('an unconfirmed leader says why, and answers once it can', async t => {
  const fixture = createControlFixture();
  // The process is frozen: time passes and no timer fires.
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  t.match(fixture.ask('e0', createHeartbeat('e0', {sequence: 7})), [
    {kind: 'leaderUnconfirmed', sequence: 7, reason: 'leaderLeaseLapsed'},
  ]);
  fixture.receive('e0', createHeartbeat('e0', {sequence: 8}));
  fixture.receive('e1', createHeartbeat('e1', {sequence: 3}));
  fixture.takeSent();
  fixture.advance(1);
  t.match(
    fixture
      .takeSent()
      .filter(({message}) => message.kind === 'configurationUpdate'),
    [
      {to: 'e0', message: {sequence: 8}},
      {to: 'e1', message: {sequence: 3}},
    ],
  );
  fixture.advance(1);
  t.same(takeKinds(fixture), [], 'each heartbeat is answered once');
});

t.test('an unconfirmed leader answers no heartbeat past its use', async t => {
  const fixture = createControlFixture();
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  fixture.receive('e0', createHeartbeat('e0'));
  fixture.clock.advance(ENTRY_LEASE_MS);
  fixture.node.post({kind: 'timerDue', timer: {kind: 'sessions'}});
  fixture.takeSent();
  fixture.advance(1);
  t.same(takeKinds(fixture), []);
});

t.test('an entry that is gone is awaited no longer than its lease', async t => {
  const fixture = createControlFixture();
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  const until = fixture.clock.readMonotonic() + ENTRY_LEASE_MS;
  fixture.receive('e0', createHeartbeat('e0'));
  fixture.clock.advance(LONG_WAIT_MS);
  fixture.advance(1);
  const session = fixture.node.view.sessions.get(toIdentifier<NodeId>('e0'));
  t.equal(session?.leaseUntil, until);
});

t.test('a read at an unconfirmed leader is answered once it can', async t => {
  const fixture = createControlFixture();
  fixture.clock.advance(PAST_LEADER_LEASE_MS);
  const read = {
    kind: 'controlQueryRequest',
    correlation: toIdentifier<never>('query'),
    query: {kind: 'source'},
  } as const;
  t.same(fixture.ask('e0', read), []);
  fixture.advance(1);
  t.same(takeKinds(fixture), ['e0 controlQueryReply']);
});

/** Lets a deployment elect its first leader, asked by an entry before. */
function electAsked(asked: (member: TestMember) => boolean): {
  readonly deployment: TestDeployment;
  readonly told: readonly ControlToEntry[];
} {
  const deployment = createTestDeployment(3);
  deployment.run(EXCHANGE_STEPS);
  const from = toIdentifier<NodeId>('entry-0');
  const message = createHeartbeat('entry-0');
  for (const member of deployment.members.filter(asked)) {
    member.loop!.post({kind: 'entryMessage', from, message});
  }
  const before = deployment.members.map(({replies}) => replies.length);
  deployment.run(ELECTION_STEPS);
  const told = deployment.members.flatMap(({replies}, index) =>
    replies.slice(before[index]),
  );
  return {deployment, told};
}

t.test('a new leader answers the entry that asked it before', async t => {
  const {told} = electAsked(() => true);
  t.ok(told.some(({kind}) => kind === 'configurationUpdate'));
});

t.test('members tell an entry that asked them who leads', async t => {
  const {deployment, told} = electAsked(() => true);
  const leader = deployment.findLeader()!.node;
  const named = told.filter(({kind}) => kind === 'notLeader');
  t.match(named, [{leader}, {leader}]);
});
