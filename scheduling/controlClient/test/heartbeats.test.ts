import {ENDED_LEASE, isLeaseValid, readInstant} from '@gentianshunt/clock';
import type {ControlToEntry} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createControlController,
  MAX_HEARTBEATS_PER_SECOND,
} from '../src/index.js';
import {createEntryFixture, createTier, createUpdate} from './fixture.js';
import type {EntryFixture, TestHeartbeat} from './fixture.js';

const LEADER = 'c0';
const OTHER = 'c1';
const TICK_MS = 500;
const SECOND_MS = 1_000;
const STEP_MS = 50;
const LEASE_MS = 3_000;
const GOLD = createTier('gold');

/** What a daemon answers to a heartbeat; `undefined` if it is silent. */
type Answer = (
  heartbeat: TestHeartbeat,
  now: number,
) => ControlToEntry | undefined;

interface Run {
  readonly durationMs: number;
  readonly roundTripMs: number;
  readonly answer: Answer;
}

/** What was seen while an entry exchanged heartbeats. */
interface Seen {
  readonly sent: readonly (TestHeartbeat & {readonly at: number})[];
  /** Times at which the entry had no lease. */
  readonly unleased: readonly number[];
}

function createFixture(): EntryFixture {
  return createEntryFixture([createControlController()]);
}

function renew({sequence}: TestHeartbeat): ControlToEntry {
  return createUpdate(0, 5, [GOLD], {sequence});
}

function refuse({sequence}: TestHeartbeat, leader: string): ControlToEntry {
  return {kind: 'notLeader', sequence, leader: toIdentifier<NodeId>(leader)};
}

/** Lets an entry exchange heartbeats with daemons that answer late. */
function exchange(fixture: EntryFixture, run: Run): Seen {
  const sent: (TestHeartbeat & {readonly at: number})[] = [];
  const unleased: number[] = [];
  fixture.loop.post({kind: 'started'});
  for (let at = 0; at < run.durationMs; at += STEP_MS) {
    sent.push(...fixture.takeHeartbeats().map(each => ({...each, at})));
    for (const heartbeat of sent) {
      const answer = run.answer(heartbeat, at);
      if (heartbeat.at + run.roundTripMs === at && answer !== undefined) {
        fixture.receive(answer, heartbeat.to);
      }
    }
    if (!isLeaseValid(fixture.loop.view.control.lease, readNow(fixture))) {
      unleased.push(at);
    }
    fixture.clock.advance(STEP_MS);
    if ((at + STEP_MS) % TICK_MS === 0) {
      fixture.loop.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
    }
  }
  return {sent, unleased};
}

function readNow({clock}: EntryFixture) {
  return readInstant(clock);
}

/** The leader renews leases; the other daemon names the leader. */
function answerSoundly(heartbeat: TestHeartbeat): ControlToEntry {
  return heartbeat.to === LEADER ? renew(heartbeat) : refuse(heartbeat, LEADER);
}

function countMostInSecond(sent: Seen['sent']): number {
  const countFrom = (from: number): number =>
    sent.filter(({at}) => at >= from && at < from + SECOND_MS).length;
  return Math.max(...sent.map(({at}) => countFrom(at)));
}

for (const roundTripMs of [50, 800, 1_500, 2_000]) {
  t.test(`replies after ${roundTripMs} ms renew the lease`, async t => {
    const {unleased, sent} = exchange(createFixture(), {
      durationMs: 20_000,
      roundTripMs,
      answer: answerSoundly,
    });
    const late = unleased.filter(at => at > 3 * roundTripMs + TICK_MS);
    t.equal(late.length, 0, 'times without a lease after the first replies');
    t.ok(countMostInSecond(sent) <= MAX_HEARTBEATS_PER_SECOND);
  });
}

t.test('a leader that falls silent costs one heartbeat interval', async t => {
  const END_MS = 5_000;
  const {sent, unleased} = exchange(createFixture(), {
    durationMs: 10_000,
    roundTripMs: STEP_MS,
    answer: (heartbeat, now) =>
      heartbeat.to === LEADER
        ? now < END_MS
          ? renew(heartbeat)
          : undefined
        : now < END_MS
          ? refuse(heartbeat, LEADER)
          : renew(heartbeat),
  });
  const unanswered = sent.find(({to, at}) => to === LEADER && at >= END_MS)!;
  const hedge = sent.find(({to, at}) => to === OTHER && at >= END_MS)!;
  t.equal(hedge.at - unanswered.at, TICK_MS);
  t.ok(unleased.every(at => at < END_MS));
});

t.test('daemons that name each other cause no storm of heartbeats', async t => {
  const {sent} = exchange(createFixture(), {
    durationMs: 10_000,
    roundTripMs: STEP_MS,
    answer: heartbeat =>
      refuse(heartbeat, heartbeat.to === LEADER ? OTHER : LEADER),
  });
  t.ok(countMostInSecond(sent) <= MAX_HEARTBEATS_PER_SECOND);
});

t.test('a silent leader is asked on, also if others name it', async t => {
  const {sent} = exchange(createFixture(), {
    durationMs: 10_000,
    roundTripMs: STEP_MS,
    answer: heartbeat =>
      heartbeat.to === LEADER ? undefined : refuse(heartbeat, LEADER),
  });
  const asked = sent.filter(({to, at}) => to === LEADER && at > SECOND_MS);
  t.ok(asked.length >= 8, `${asked.length} heartbeats in 9 s`);
  const hedges = sent.filter(({to}) => to === OTHER);
  t.ok(hedges.length <= 20, `${hedges.length} others in 10 s`);
});

t.test('a reply renews the lease only for the version it grants', async t => {
  const cases = [
    {name: 'the version held', fromVersion: 5, version: 5, until: LEASE_MS},
    {name: 'an older version', fromVersion: 0, version: 4, until: LEASE_MS},
    {name: 'a newer version', fromVersion: 5, version: 8, until: LEASE_MS},
    {name: 'one that is missing', fromVersion: 6, version: 8, until: null},
    {
      name: 'an earlier process',
      fromVersion: 5,
      version: 5,
      incarnation: toIdentifier<IncarnationId>('i0'),
      until: null,
    },
  ];
  for (const {name, fromVersion, version, until, ...changes} of cases) {
    const fixture = createFixture();
    fixture.loop.post({kind: 'started'});
    fixture.receive(createUpdate(0, 5, [GOLD]));
    fixture.clock.advance(2 * TICK_MS);
    fixture.loop.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
    const reply = {sequence: 1, ...changes};
    fixture.receive(createUpdate(fromVersion, version, [], reply));
    const {lease} = fixture.loop.view.control;
    t.equal(lease.until, until ?? ENDED_LEASE.until, name);
  }
});

t.test('an earlier heartbeat does not shorten the lease', async t => {
  const fixture = createFixture();
  fixture.loop.post({kind: 'started'});
  fixture.clock.advance(TICK_MS);
  fixture.loop.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
  // The first two were sent at the start.
  fixture.receive(renew({to: LEADER, sequence: 3}));
  fixture.receive(renew({to: OTHER, sequence: 1}), OTHER);
  const {lease, leader} = fixture.loop.view.control;
  t.equal(lease.until, TICK_MS + LEASE_MS);
  t.equal(leader, LEADER, 'nor does it name the leader');
});

t.test('only the leader that answers a heartbeat is forgotten', async t => {
  const fixture = createFixture();
  fixture.loop.post({kind: 'started'});
  fixture.receive(createUpdate(0, 5, [GOLD], {sequence: 1}));
  const redirect = {kind: 'notLeader', leader: null} as const;
  fixture.receive({...redirect, sequence: null});
  t.equal(fixture.loop.view.control.leader, LEADER);
  fixture.clock.advance(TICK_MS);
  fixture.loop.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
  fixture.receive({...redirect, sequence: 2});
  t.equal(fixture.loop.view.control.leader, null);
});

t.test('an unconfirmed leader is followed until it answers', async t => {
  const fixture = createFixture();
  fixture.loop.post({kind: 'started'});
  fixture.receive(
    {
      kind: 'leaderUnconfirmed',
      incarnation: toIdentifier<IncarnationId>('i1'),
      sequence: 1,
      reason: 'ownEntryNotApplied',
    },
    OTHER,
  );
  t.match(fixture.loop.view.control, {
    leader: OTHER,
    lease: ENDED_LEASE,
    heartbeats: [
      {answer: {kind: 'leaderUnconfirmed', reason: 'ownEntryNotApplied'}},
    ],
  });
  fixture.clock.advance(TICK_MS);
  fixture.loop.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
  t.ok(fixture.takeHeartbeats().some(({to}) => to === OTHER));
  fixture.receive(renew({to: OTHER, sequence: 1}), OTHER);
  t.equal(fixture.loop.view.control.lease.until, LEASE_MS);
});

t.test('an entry that starts waits for one daemon only', async t => {
  const fixture = createFixture();
  fixture.loop.post({kind: 'started'});
  const asked = fixture.takeHeartbeats();
  t.same(asked.map(({to}) => to).sort(), [LEADER, OTHER]);
  t.same(
    asked.map(({sequence}) => sequence),
    [1, 2],
  );
});

t.test('a list of members does not replace a leader that was named', t => {
  const fixture = createFixture();
  fixture.loop.post({kind: 'started'});
  const [heartbeat] = fixture.takeHeartbeats();
  fixture.receive(refuse(heartbeat!, OTHER), LEADER);
  const members = ['c2', OTHER, LEADER].map(node => toIdentifier<NodeId>(node));
  fixture.receive({kind: 'membersUpdate', members}, LEADER);
  t.equal(fixture.loop.view.control.leader, toIdentifier<NodeId>(OTHER));
  t.end();
});
