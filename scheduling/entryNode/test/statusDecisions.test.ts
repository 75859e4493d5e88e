import t from 'tap';

import {RELEASE_ID} from '@gentianshunt/configuration';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import {HEARTBEAT_INTERVAL_MS} from '@gentianshunt/controlClient';
import {
  LATE_ANSWER_MS,
  LEASE_MISSING_INTERVAL_MS,
} from '@gentianshunt/decisionLog';
import type {EntryDecision} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
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

/** Answers at a tick of the heartbeats; `null` without an answer. */
type Answer = (fixture: EntryFixture, latest: number) => ControlToEntry | null;

/** Lets heartbeats go out until the lease has ended, each answered alike. */
function runLapse(fixture: EntryFixture, answer: Answer): void {
  const endAt = fixture.clock.readMonotonic() + 2 * LEASE_MS;
  while (fixture.clock.readMonotonic() < endAt) {
    isolate(fixture, HEARTBEAT_INTERVAL_MS);
    const {sequence} = fixture.listSent('entryHeartbeat').at(-1)!;
    const message = answer(fixture, sequence);
    if (message !== null) {
      fixture.receive(message);
    }
  }
}

/** Renews by the latest heartbeat whose lease has ended, if there is one. */
function answerLate(fixture: EntryFixture): ControlToEntry | null {
  const now = fixture.clock.readMonotonic();
  const ended = fixture.node.view.control.heartbeats.filter(
    ({sentAt, answer}) =>
      answer.kind === 'none' && now - sentAt.monotonic >= LEASE_MS,
  );
  const latest = ended.at(-1);
  return latest === undefined ? null : createUpdate(1, 1, 41, latest.sequence);
}

/** Changes that start above the version that the entry holds. */
function createLaterUpdate(sequence: number): ControlToEntry {
  return createUpdate(5, 8, 41, sequence);
}

function createNotLeader(
  sequence: number,
  leader: string | null,
): ControlToEntry {
  return {
    kind: 'notLeader',
    sequence,
    leader: leader === null ? null : toIdentifier<NodeId>(leader),
  };
}

t.test('a missing lease is logged at intervals with its cause', async t => {
  const causes = {
    noReply: () => null,
    replyLate: answerLate,
    versionMissing: (_, sequence) => createLaterUpdate(sequence),
    noLeader: (_, sequence) => createNotLeader(sequence, null),
    leaderSilent: (_, sequence) => createNotLeader(sequence, 'control-9'),
  } as const satisfies Record<string, Answer>;
  for (const [cause, answer] of Object.entries(causes)) {
    const fixture = createEntryFixture();
    runLapse(fixture, answer);
    // A late reply comes after the lease has ended.
    const lostBy = cause === 'replyLate' ? 'noReply' : cause;
    t.match(listOfKind(fixture, 'leaseLost'), [{cause: lostBy}]);
    const missing = listOfKind(fixture, 'leaseMissing');
    t.match(missing, [
      {cause, missingMs: LEASE_MISSING_INTERVAL_MS},
      {cause, missingMs: 2 * LEASE_MISSING_INTERVAL_MS},
      {cause, missingMs: 3 * LEASE_MISSING_INTERVAL_MS},
    ]);
    t.ok(missing.every(({heartbeats}) => heartbeats.length > 0));
  }
});

t.test('a regained lease is logged with the heartbeats it took', async t => {
  const fixture = createEntryFixture();
  const sentBefore: number[] = [];
  runLapse(fixture, () => {
    if (listOfKind(fixture, 'leaseLost').length === 0) {
      sentBefore.push(fixture.listSent('entryHeartbeat').length);
    }
    return null;
  });
  const sent = fixture.listSent('entryHeartbeat');
  fixture.receive(createUpdate(1, 1, 41, sent.at(-1)!.sequence));
  t.match(listOfKind(fixture, 'leaseRegained').at(-1), {
    lapsedMs: LEASE_MS,
    heartbeatsSent: sent.length - sentBefore.at(-1)!,
  });
});

t.test('heartbeats are counted once, by what came back', async t => {
  const fixture = createEntryFixture();
  const {renewed} = fixture.node.view.heartbeatTotals.byAnswer;
  runLapse(fixture, (_, sequence) => createNotLeader(sequence, null));
  runLapse(fixture, (_, sequence) => createLaterUpdate(sequence));
  const lateReplies = 5;
  for (let reply = 0; reply < lateReplies; reply += 1) {
    isolate(fixture, HEARTBEAT_INTERVAL_MS);
    fixture.clock.advance(LATE_ANSWER_MS + 1);
    const {sequence} = fixture.listSent('entryHeartbeat').at(-1)!;
    fixture.receive(createUpdate(1, 1, 41, sequence));
  }
  const perLapse = (2 * LEASE_MS) / HEARTBEAT_INTERVAL_MS;
  t.match(fixture.node.view.heartbeatTotals, {
    byAnswer: {
      renewed: renewed + lateReplies,
      notLeader: perLapse,
      unused: perLapse,
    },
    late: lateReplies,
  });
});
