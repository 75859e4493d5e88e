import t from 'tap';

import {ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import type {ControlToEntry, ForceStatus} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createHeartbeat,
  createTierCommand,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

function readForce(
  replies: readonly ControlToEntry[],
): ForceStatus | undefined {
  const found = replies.find(reply => reply.kind === 'commandStatusReply');
  return found?.kind === 'commandStatusReply' ? found.status : undefined;
}

function askForce(fixture: ControlFixture, version: number): ForceStatus {
  const replies = fixture.ask('entry-0', {
    kind: 'commandStatusRequest',
    correlation: toIdentifier('status'),
    version,
  });
  return readForce(replies)!;
}

function confirm(fixture: ControlFixture, node: string, version: number): void {
  fixture.receive(node, {
    kind: 'versionConfirmed',
    version,
    directoryVersion: {term: 1, number: 1},
  });
}

/** Two entries at the applied version, after the leader has settled. */
function createSettledFixture(): ControlFixture {
  const fixture = createControlFixture();
  fixture.advance(ENTRY_LEASE_MS);
  for (const node of ['entry-0', 'entry-1']) {
    fixture.receive(node, createHeartbeat(node));
  }
  fixture.ask('entry-0', createCommandRequest(createCommand(1)));
  return fixture;
}

t.test('a new leader waits out the leases it has not heard of', async t => {
  const fixture = createControlFixture();
  fixture.receive('entry-0', createHeartbeat('entry-0'));
  fixture.ask('entry-0', createCommandRequest(createCommand(1)));
  const {version} = fixture.node.view.applied;
  confirm(fixture, 'entry-0', version);
  const early = askForce(fixture, version);
  t.match(early, {isInForce: false, unconfirmed: [], settlingMs: 3_000});
  fixture.advance(ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', {version}));
  t.equal(askForce(fixture, version).isInForce, false);
  fixture.takeSent();
  fixture.advance(1);
  const pushed = fixture.takeSent().map(({message}) => message);
  t.equal(readForce(pushed)?.isInForce, true, 'answered without being asked');
});

t.test('a push is confirmed at once', async t => {
  const fixture = createSettledFixture();
  const {version} = fixture.node.view.applied;
  t.match(askForce(fixture, version), {
    isInForce: false,
    unconfirmed: ['entry-0', 'entry-1'],
  });
  confirm(fixture, 'entry-0', version);
  t.strictSame(askForce(fixture, version).unconfirmed, ['entry-1']);
  fixture.takeSent();
  confirm(fixture, 'entry-1', version);
  const replies = fixture.takeSent().map(({message}) => message);
  t.equal(readForce(replies)?.isInForce, true);
});

t.test('an entry whose lease ran out is not waited for', async t => {
  const fixture = createSettledFixture();
  const {version} = fixture.node.view.applied;
  fixture.advance(ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', {version}));
  t.strictSame(askForce(fixture, version).unconfirmed, ['entry-1']);
  fixture.advance(1);
  t.equal(askForce(fixture, version).isInForce, true);
  t.equal(fixture.node.view.sessions.size, 1);
});

t.test('changes that follow a push go out when it is confirmed', async t => {
  const fixture = createSettledFixture();
  const first = fixture.node.view.applied.version;
  fixture.takeSent();
  fixture.receive(
    'entry-0',
    createCommandRequest(createCommand(2, [createTierCommand('silver', 2)])),
  );
  const second = fixture.node.view.applied.version;
  const pushes = fixture
    .takeSent()
    .filter(({message}) => message.kind === 'configurationUpdate');
  t.equal(pushes.length, 0, 'one push is in flight for each entry');
  confirm(fixture, 'entry-0', first);
  t.match(fixture.takeSent(), [
    {
      to: 'entry-0',
      message: {
        kind: 'configurationUpdate',
        fromVersion: first,
        version: second,
        changes: [{kind: 'put', object: {id: 'silver'}}],
      },
    },
  ]);
});

t.test('an update fits what the entry holds', async t => {
  const fixture = createSettledFixture();
  const {version} = fixture.node.view.applied;
  const cases = [
    {name: 'nothing', held: 0, fromVersion: 0, changes: 1},
    {name: 'the latest', held: version, fromVersion: version, changes: 0},
    {name: 'a version that is not kept', held: 1, fromVersion: 0, changes: 1},
  ];
  for (const {name, held, fromVersion, changes} of cases) {
    const [update] = fixture.ask(
      'entry-0',
      createHeartbeat('entry-0', {version: held}),
    );
    t.match(update, {kind: 'configurationUpdate', fromVersion, version}, name);
    const count =
      update?.kind === 'configurationUpdate' ? update.changes.length : -1;
    t.equal(count, changes, name);
  }
});

t.test('the directory follows in deltas', async t => {
  const fixture = createControlFixture();
  fixture.advance(ENTRY_LEASE_MS);
  const [first] = fixture.ask('entry-0', createHeartbeat('entry-0'));
  t.match(first, {directory: {kind: 'replace', directory: {entries: [{}]}}});
  const {term} = fixture.node.view.ballot;
  fixture.receive('entry-1', createHeartbeat('entry-1'));
  const held = {directoryVersion: {term, number: 1}};
  const [second] = fixture.ask('entry-0', createHeartbeat('entry-0', held));
  t.match(second, {
    directory: {
      kind: 'delta',
      version: {term, number: 2},
      changes: [{kind: 'put', entry: {address: {node: 'entry-1'}}}],
    },
  });
  const current = {directoryVersion: {term, number: 2}};
  const [third] = fixture.ask('entry-0', createHeartbeat('entry-0', current));
  t.match(third, {directory: null});
  fixture.advance(ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', current));
  fixture.advance(1);
  const [fourth] = fixture.ask('entry-0', createHeartbeat('entry-0', current));
  t.match(fourth, {
    directory: {kind: 'delta', changes: [{kind: 'remove', node: 'entry-1'}]},
  });
});

t.test('before it has settled a leader leaves directories alone', async t => {
  const fixture = createControlFixture();
  const held = {directoryVersion: {term: 77, number: 12}};
  const [early] = fixture.ask('entry-0', createHeartbeat('entry-0', held));
  t.match(early, {directory: null});
  fixture.advance(ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', held));
  fixture.advance(1);
  const [late] = fixture.ask('entry-0', createHeartbeat('entry-0', held));
  t.match(late, {directory: {kind: 'replace'}});
});
