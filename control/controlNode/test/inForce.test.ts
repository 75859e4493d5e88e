import t from 'tap';

import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {ControlToEntry, InForceStatus} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createHeartbeat,
  createTierCommand,
  ENTRY_LEASE_MS,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

const RESEND_MS = 1_000;

function readForceStatus(
  replies: readonly ControlToEntry[],
): InForceStatus | undefined {
  const found = replies.find(reply => reply.kind === 'commandStatusReply');
  return found?.kind === 'commandStatusReply' ? found.status : undefined;
}

function queryForceStatus(
  fixture: ControlFixture,
  version: number,
): InForceStatus {
  const replies = fixture.ask('entry-0', {
    kind: 'commandStatusRequest',
    correlation: toIdentifier('status'),
    version,
  });
  return readForceStatus(replies)!;
}

function confirm(fixture: ControlFixture, node: string, version: number): void {
  fixture.receive(node, {
    kind: 'versionConfirmed',
    version,
    directoryVersion: {term: 1, number: 1, digest: 0},
  });
}

/** Two entries, and a command, after the leader's lease recovery period. */
function createRecoveredFixture(): ControlFixture {
  const fixture = createControlFixture();
  fixture.advance(MAX_ENTRY_LEASE_MS);
  for (const node of ['entry-0', 'entry-1']) {
    fixture.receive(node, createHeartbeat(node));
  }
  fixture.ask('entry-0', createCommandRequest(createCommand(1)));
  return fixture;
}

t.test('a new leader waits for leases of the former leader', async t => {
  const fixture = createControlFixture();
  fixture.receive('entry-0', createHeartbeat('entry-0'));
  fixture.ask('entry-0', createCommandRequest(createCommand(1)));
  const {version} = fixture.node.view.applied;
  confirm(fixture, 'entry-0', version);
  const early = queryForceStatus(fixture, version);
  t.match(early, {isInForce: false, unconfirmed: [], settlingMs: 3_000});
  fixture.advance(MAX_ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', {version}));
  t.equal(queryForceStatus(fixture, version).isInForce, false);
  fixture.takeSent();
  fixture.advance(1);
  const pushed = fixture.takeSent().map(({message}) => message);
  t.equal(
    readForceStatus(pushed)?.isInForce,
    true,
    'reported without another request',
  );
});

t.test('a version is in force once all entries have confirmed it', async t => {
  const fixture = createRecoveredFixture();
  const {version} = fixture.node.view.applied;
  t.match(queryForceStatus(fixture, version), {
    isInForce: false,
    unconfirmed: ['entry-0', 'entry-1'],
  });
  confirm(fixture, 'entry-0', version);
  t.strictSame(queryForceStatus(fixture, version).unconfirmed, ['entry-1']);
  fixture.takeSent();
  confirm(fixture, 'entry-1', version);
  const replies = fixture.takeSent().map(({message}) => message);
  t.equal(readForceStatus(replies)?.isInForce, true);
});

t.test('an entry whose lease has expired need not confirm', async t => {
  const fixture = createRecoveredFixture();
  const {version} = fixture.node.view.applied;
  fixture.advance(ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', {version}));
  t.strictSame(queryForceStatus(fixture, version).unconfirmed, ['entry-1']);
  fixture.advance(1);
  t.equal(queryForceStatus(fixture, version).isInForce, true);
  t.equal(fixture.node.view.sessions.size, 1);
});

t.test('later changes are sent once an update is confirmed', async t => {
  const fixture = createRecoveredFixture();
  const first = fixture.node.view.applied.version;
  fixture.takeSent();
  fixture.receive(
    'entry-0',
    createCommandRequest(createCommand(2, [createTierCommand('silver', 2)])),
  );
  const second = fixture.node.view.applied.version;
  const updates = fixture
    .takeSent()
    .filter(({message}) => message.kind === 'configurationUpdate');
  t.equal(updates.length, 0, 'one update is in flight for each entry');
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

t.test('an update starts from the version that the entry holds', async t => {
  const fixture = createRecoveredFixture();
  const {version} = fixture.node.view.applied;
  // The update of the command may have been lost by then.
  fixture.advance(RESEND_MS);
  const cases = [
    {name: 'no version', entryVersion: 0, fromVersion: 0, changes: 1},
    {
      name: 'the latest version',
      entryVersion: version,
      fromVersion: version,
      changes: 0,
    },
    {
      name: 'a version that the history lacks',
      entryVersion: 1,
      fromVersion: 0,
      changes: 1,
    },
  ];
  for (const {name, entryVersion, fromVersion, changes} of cases) {
    const [update] = fixture.ask(
      'entry-0',
      createHeartbeat('entry-0', {version: entryVersion}),
    );
    t.match(update, {kind: 'configurationUpdate', fromVersion, version}, name);
    const count =
      update?.kind === 'configurationUpdate' ? update.changes.length : -1;
    t.equal(count, changes, name);
  }
});

function readDirectoryVersion(reply: ControlToEntry | undefined) {
  const update = reply?.kind === 'configurationUpdate' ? reply.directory : null;
  return update?.kind === 'replace'
    ? update.directory.version
    : (update?.version ?? NO_DIRECTORY_VERSION);
}

t.test('changes of the directory are sent as deltas', async t => {
  const fixture = createControlFixture();
  fixture.advance(MAX_ENTRY_LEASE_MS);
  const [first] = fixture.ask('entry-0', createHeartbeat('entry-0'));
  t.match(first, {directory: {kind: 'replace', directory: {entries: [{}]}}});
  const {term} = fixture.node.view.ballot;
  fixture.receive('entry-1', createHeartbeat('entry-1'));
  const firstDirectory = {directoryVersion: readDirectoryVersion(first)};
  const [second] = fixture.ask(
    'entry-0',
    createHeartbeat('entry-0', firstDirectory),
  );
  t.match(second, {
    directory: {
      kind: 'delta',
      version: {term, number: 2},
      changes: [{kind: 'put', entry: {address: {node: 'entry-1'}}}],
    },
  });
  const current = {directoryVersion: readDirectoryVersion(second)};
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

t.test('a leader sends no directory in its lease recovery period', async t => {
  const fixture = createControlFixture();
  const changes = {directoryVersion: {term: 77, number: 12, digest: 1}};
  const [early] = fixture.ask('entry-0', createHeartbeat('entry-0', changes));
  t.match(early, {directory: null});
  fixture.advance(MAX_ENTRY_LEASE_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0', changes));
  fixture.advance(1);
  const [late] = fixture.ask('entry-0', createHeartbeat('entry-0', changes));
  t.match(late, {directory: {kind: 'replace'}});
});

t.test(
  'an equal directory is not sent again after a change of leader',
  async t => {
    const before = createControlFixture();
    before.advance(MAX_ENTRY_LEASE_MS);
    const nodes = ['entry-0', 'entry-1', 'entry-2'];
    for (const node of nodes) {
      before.receive(node, createHeartbeat(node));
    }
    const [first] = before.ask('entry-0', createHeartbeat('entry-0'));
    const directory = {directoryVersion: readDirectoryVersion(first)};
    const cases = [
      {name: 'all entries', present: nodes, kind: 'delta'},
      {name: 'one entry missing', present: nodes.slice(0, 2), kind: 'replace'},
    ];
    for (const {name, present, kind} of cases) {
      const after = createControlFixture(before.readStored());
      after.advance(MAX_ENTRY_LEASE_MS);
      for (const node of [...present].reverse()) {
        after.receive(node, createHeartbeat(node));
      }
      const [update] = after.ask(
        'entry-0',
        createHeartbeat('entry-0', directory),
      );
      t.match(update, {directory: {kind}}, name);
      if (kind === 'delta') {
        t.match(update, {directory: {changes: []}}, name);
      }
    }
  },
);
