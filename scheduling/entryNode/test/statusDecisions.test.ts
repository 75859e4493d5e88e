import t from 'tap';

import {RELEASE_ID} from '@gentianshunt/configuration';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {EntryDecision} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {IncarnationId} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

import {createEntryFixture} from './entryFixture.js';
import type {EntryFixture} from './entryFixture.js';

const LEASE_MS = 3_000;

function createRelease(version: number): ConfigurationObject {
  return {
    kind: 'release',
    id: RELEASE_ID,
    revision: version,
    version,
    callerLimits: null,
  };
}

function createUpdate(
  fromVersion: number,
  version: number,
  release: number,
  sequence: number | null = null,
): ControlToEntry {
  return {
    kind: 'configurationUpdate',
    sequence,
    incarnation: toIdentifier<IncarnationId>('i1'),
    fromVersion,
    version,
    changes: [{kind: 'put', object: createRelease(release)}],
    directory: null,
    leaseMs: LEASE_MS,
  };
}

function listOfKind<Kind extends EntryDecision['kind']>(
  fixture: EntryFixture,
  kind: Kind,
): readonly Extract<EntryDecision, {readonly kind: Kind}>[] {
  return fixture
    .list('logDecision')
    .map(({decision}) => decision)
    .filter(decision => decision.kind === kind) as never;
}

/** Lets the timers of an entry run whose heartbeats nobody answers. */
function isolate(fixture: EntryFixture, durationMs: number): void {
  fixture.clock.advance(durationMs);
  fixture.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
}

t.test('an adopted version is logged with the one before it', async t => {
  const fixture = createEntryFixture();
  fixture.receive(createUpdate(1, 5, 41));
  fixture.clock.advance(70);
  fixture.receive(createUpdate(5, 8, 42));
  t.match(listOfKind(fixture, 'configurationApplied').slice(-2), [
    {configurationVersion: 5, fromVersion: 1, release: 41, changes: 1},
    {
      configurationVersion: 8,
      fromVersion: 5,
      release: 42,
      changes: 1,
      sinceAdoptedMs: 70,
    },
  ]);
});

t.test('a lapsed lease is logged with the age of what was held', async t => {
  const fixture = createEntryFixture();
  fixture.receive(createUpdate(1, 5, 41));
  isolate(fixture, LEASE_MS);
  t.match(listOfKind(fixture, 'leaseLost'), [
    {
      configurationVersion: 5,
      release: 41,
      expiredMs: 0,
      sinceAdoptedMs: LEASE_MS,
      sinceRenewedMs: LEASE_MS,
    },
  ]);
  fixture.clock.advance(200);
  const {sequence} = fixture.listSent('entryHeartbeat').at(-1)!;
  fixture.receive(createUpdate(5, 5, 41, sequence));
  t.match(listOfKind(fixture, 'leaseRegained').at(-1), {
    release: 41,
    lapsedMs: 200,
  });
});

t.test('the first lease is logged with the time since the start', async t => {
  const fixture = createEntryFixture();
  t.match(listOfKind(fixture, 'leaseRegained'), [
    {lapsedMs: null, sinceStartMs: 0},
  ]);
});

t.test('a lease that lapsed before a late renewal is logged', async t => {
  const fixture = createEntryFixture();
  isolate(fixture, LEASE_MS / 2);
  const {sequence} = fixture.listSent('entryHeartbeat').at(-1)!;
  fixture.clock.advance(LEASE_MS / 2 + 100);
  fixture.receive(createUpdate(1, 1, 41, sequence));
  t.match(listOfKind(fixture, 'leaseLost'), [{expiredMs: 100}]);
  t.match(listOfKind(fixture, 'leaseRegained').at(-1), {lapsedMs: 100});
});
