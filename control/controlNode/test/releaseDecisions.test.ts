import t from 'tap';

import {
  LOG_GROWTH_STEP_BYTES,
  RELEASE_LAG_MS,
} from '@gentianshunt/controlDecisionLog';
import type {ControlDecision} from '@gentianshunt/controlModel';
import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import {toIdentifier} from '@gentianshunt/identifiers';
import {measureLogEntry} from '@gentianshunt/messages';
import type {LogEntry} from '@gentianshunt/messages';

import {
  createControlFixture,
  createHeartbeat,
  createReplacementRequest,
  ENTRY_LEASE_MS,
  RELEASE_APPLY_MS,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

/** A leader whose lease recovery period is over, and two entries. */
function createLeader(): ControlFixture {
  const fixture = createControlFixture();
  fixture.advance(MAX_ENTRY_LEASE_MS);
  ['entry-0', 'entry-1'].forEach(node =>
    fixture.receive(node, createHeartbeat(node)),
  );
  fixture.takeDecisions();
  return fixture;
}

function confirm(fixture: ControlFixture, node: string): void {
  fixture.receive(node, {
    kind: 'versionConfirmed',
    version: fixture.node.view.applied.version,
    directoryVersion: {term: 1, number: 1, digest: 0},
  });
}

function listKinds(
  decisions: readonly ControlDecision[],
): readonly ControlDecision['kind'][] {
  return decisions.map(({kind}) => kind);
}

t.test('a release is logged when proposed, applied and in force', async t => {
  const fixture = createLeader();
  fixture.receive('entry-0', createReplacementRequest(7, ['gold', 'silver']));
  const index = fixture.node.view.applied.version;
  t.strictSame(fixture.takeDecisions(), [
    {kind: 'releaseProposed', release: 7, index, bytes: 10},
    {
      kind: 'releaseApplied',
      release: 7,
      index,
      objects: 2,
      changedObjects: 2,
      sinceProposedMs: 0,
    },
    {
      kind: 'acknowledgementDelayed',
      release: 7,
      to: 'entry-0',
      cause: 'entryLease',
      leaseOf: 'entry-0',
      remainingMs: ENTRY_LEASE_MS - RELEASE_APPLY_MS,
    },
  ]);
  fixture.clock.advance(40);
  confirm(fixture, 'entry-0');
  t.strictSame(fixture.takeDecisions(), []);
  fixture.clock.advance(20);
  confirm(fixture, 'entry-1');
  t.strictSame(fixture.takeDecisions(), [
    {
      kind: 'releaseInForce',
      release: 7,
      index,
      entries: 2,
      sinceProposedMs: 60,
      sinceAppliedMs: 60,
    },
    {kind: 'releaseAcknowledged', release: 7, to: 'entry-0', waitedMs: 60},
  ]);
});

t.test('entries that keep a release from being in force are named', async t => {
  const fixture = createLeader();
  fixture.receive('entry-0', createReplacementRequest(7, ['gold']));
  confirm(fixture, 'entry-0');
  fixture.takeDecisions();
  fixture.advance(RELEASE_LAG_MS - 1);
  t.same(listKinds(fixture.takeDecisions()), ['releaseAcknowledged']);
  fixture.advance(1);
  t.match(fixture.takeDecisions(), [
    {
      kind: 'releaseLagging',
      release: 7,
      sinceAppliedMs: RELEASE_LAG_MS,
      settlingMs: 0,
      lagging: 1,
      nodes: ['entry-1'],
    },
  ]);
  fixture.advance(1);
  t.strictSame(fixture.takeDecisions(), [], 'once');
  fixture.advance(MAX_ENTRY_LEASE_MS);
  t.match(
    fixture.takeDecisions().filter(({kind}) => kind === 'releaseInForce'),
    [{release: 7, sinceAppliedMs: RELEASE_LAG_MS + 1 + MAX_ENTRY_LEASE_MS}],
    'once the leases of the others have ended',
  );
});

t.test('a new leader says how long it still waits for leases', async t => {
  const fixture = createControlFixture();
  fixture.receive('entry-0', createHeartbeat('entry-0'));
  fixture.receive('entry-0', createReplacementRequest(7, ['gold']));
  confirm(fixture, 'entry-0');
  fixture.takeDecisions();
  fixture.advance(RELEASE_LAG_MS);
  t.match(fixture.takeDecisions(), [
    {kind: 'releaseAcknowledged', release: 7, waitedMs: RELEASE_LAG_MS},
    {
      kind: 'releaseLagging',
      lagging: 0,
      settlingMs: MAX_ENTRY_LEASE_MS - RELEASE_LAG_MS,
    },
  ]);
});

t.test(
  'an older release that is committed is logged as superseded',
  async t => {
    const fixture = createLeader();
    fixture.receive('entry-0', createReplacementRequest(7, ['gold']));
    const {entries, ballot} = fixture.readStored();
    const index = fixture.node.view.logStatus.lastIndex + 1;
    const older = createReplacementRequest(6, ['silver']);
    const payload = {
      kind: 'replaceConfiguration',
      replacement: (older as Extract<typeof older, {replacement: unknown}>)
        .replacement,
    } as const;
    const restarted = createControlFixture({
      ballot,
      entries: [...entries, {index, term: ballot.term, payload}],
    });
    const decisions = restarted.takeDecisions();
    t.match(
      decisions.filter(({kind}) => kind.startsWith('release')),
      [
        {kind: 'releaseApplied', release: 7, sinceProposedMs: null},
        {kind: 'releaseSuperseded', release: 6, index, heldRelease: 7},
      ],
    );
  },
);

t.test('a start is logged with what was read and the first read', async t => {
  const fixture = createLeader();
  fixture.receive('entry-0', createReplacementRequest(7, ['gold'], 5_000));
  const stored = fixture.readStored();
  const restarted = createControlFixture(stored);
  const decisions = restarted.takeDecisions();
  const bytes = sumBytes(stored.entries);
  t.ok(bytes > 5_000);
  t.match(
    decisions.find(({kind}) => kind === 'logRestored'),
    {snapshotIndex: 0, entries: stored.entries.length, bytes},
  );
  t.match(
    decisions.find(({kind}) => kind === 'readsConfirmed'),
    {term: restarted.node.view.ballot.term, sinceStartMs: 10_000},
  );
});

t.test('the growth of the log in memory is logged in steps', async t => {
  const fixture = createLeader();
  const half = LOG_GROWTH_STEP_BYTES / 2;
  fixture.receive('entry-0', createReplacementRequest(7, ['gold'], half));
  t.notOk(listKinds(fixture.takeDecisions()).includes('logGrown'));
  const applied = sumBytes(fixture.readStored().entries);
  const request = createReplacementRequest(8, ['silver'], half);
  const {replacement} = request;
  const payload = {kind: 'replaceConfiguration', replacement} as const;
  const appended = measureLogEntry({index: 0, term: 0, payload});
  fixture.receive('entry-0', request);
  t.match(
    fixture.takeDecisions().find(({kind}) => kind === 'logGrown'),
    {bytes: applied + appended, sinceSnapshotBytes: applied},
  );
});

function sumBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + measureLogEntry(entry), 0);
}

t.test('the leader lists the latest releases and who lags', async t => {
  const fixture = createLeader();
  fixture.receive('entry-0', createReplacementRequest(7, ['gold']));
  ['entry-0', 'entry-1'].forEach(node => confirm(fixture, node));
  fixture.clock.advance(100);
  fixture.receive('entry-0', createReplacementRequest(8, ['silver']));
  confirm(fixture, 'entry-1');
  fixture.clock.advance(30);
  const [reply] = fixture.ask('entry-0', {
    kind: 'controlQueryRequest',
    correlation: toIdentifier('q1'),
    query: {kind: 'releases'},
  });
  t.match(reply, {
    result: {
      kind: 'releases',
      releases: [
        {
          release: 8,
          sinceAppliedMs: 30,
          sinceInForceMs: null,
          lagging: ['entry-0'],
        },
        {release: 7, sinceAppliedMs: 130, sinceInForceMs: 130, lagging: []},
      ],
    },
  });
});
