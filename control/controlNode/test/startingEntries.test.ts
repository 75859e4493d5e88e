import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createHeartbeat,
  createTierCommand,
} from './fixture.js';
import type {ControlFixture, Heartbeat} from './fixture.js';

type ConfigurationUpdate = Extract<
  ControlToEntry,
  {readonly kind: 'configurationUpdate'}
>;

const ENTRIES = 5;
const HEARTBEAT_MS = 500;
const RESEND_MS = 1_000;

/** A leader with a configuration and no sessions. */
function createLeader(): ControlFixture {
  const fixture = createControlFixture();
  fixture.advance(MAX_ENTRY_LEASE_MS);
  fixture.receive('operator', createCommandRequest(createCommand(1)));
  fixture.takeSent();
  return fixture;
}

/** Sends an entry's heartbeat; returns the updates that answer it. */
function askUpdates(
  fixture: ControlFixture,
  node: string,
  changes: Partial<Heartbeat> = {},
): readonly ConfigurationUpdate[] {
  return fixture
    .ask(node, createHeartbeat(node, changes))
    .filter(each => each.kind === 'configurationUpdate');
}

function listFull(
  updates: readonly ConfigurationUpdate[],
): readonly ConfigurationUpdate[] {
  return updates.filter(({changes}) => changes.length > 0);
}

t.test('entries that start together get one encoded update', async t => {
  const fixture = createLeader();
  const updates = Array.from({length: ENTRIES}, (_, index) =>
    askUpdates(fixture, `entry-${index}`),
  );
  const full = updates.flatMap(listFull);
  t.equal(full.length, ENTRIES);
  t.equal(new Set(full).size, 1);
  const {version} = fixture.node.view.applied;
  for (const each of updates) {
    t.match(each.at(-1), {sequence: 1, fromVersion: version, changes: []});
  }
});

t.test('a repeated heartbeat does not send everything again', async t => {
  const fixture = createLeader();
  t.equal(listFull(askUpdates(fixture, 'entry-0')).length, 1);
  fixture.advance(HEARTBEAT_MS);
  const repeated = askUpdates(fixture, 'entry-0', {sequence: 2});
  t.match(repeated, [{sequence: 2}]);
  t.equal(listFull(repeated).length, 0);
  fixture.advance(RESEND_MS - HEARTBEAT_MS);
  const resent = askUpdates(fixture, 'entry-0', {sequence: 3});
  t.equal(listFull(resent).length, 1, 'it may have been lost');
  fixture.advance(RESEND_MS);
  const waiting = askUpdates(fixture, 'entry-0', {sequence: 4});
  t.equal(listFull(waiting).length, 0, 'the wait doubles');
});

t.test('an entry that starts again gets everything at once', async t => {
  const fixture = createLeader();
  askUpdates(fixture, 'entry-0');
  const incarnation = toIdentifier<never>('entry-0-2');
  const updates = askUpdates(fixture, 'entry-0', {incarnation});
  t.match(listFull(updates), [{fromVersion: 0}]);
});

t.test('changes while an update is on its way continue it', async t => {
  const fixture = createLeader();
  askUpdates(fixture, 'entry-0');
  const first = fixture.node.view.applied.version;
  const silver = createCommand(2, [createTierCommand('silver', 2)]);
  fixture.receive('operator', createCommandRequest(silver));
  const second = fixture.node.view.applied.version;
  t.match(askUpdates(fixture, 'entry-0', {sequence: 2}), [
    {
      fromVersion: first,
      version: second,
      changes: [{kind: 'put', object: {id: 'silver'}}],
    },
    {sequence: 2, fromVersion: second, version: second, changes: []},
  ]);
});
