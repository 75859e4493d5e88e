import t from 'tap';

import {
  createLeaseExplanation,
  describeLeaseCause,
  formatLeaseExplanation,
  parseTime,
} from '../src/index.js';
import type {LeaseState} from '../src/index.js';
import {createLines, START} from './linesFixture.js';
import type {LineFixture} from './linesFixture.js';

const ENTRY = 'front-a';
const LEADER = '10.0.0.2';
const LOST_MS = 10_000;
const REGAINED_MS = 14_000;
const ASKED_MS = 12_000;

function createAt(ms: number): Date {
  return new Date(START + ms);
}

function createLapse(
  cause: string,
  heartbeats: readonly string[],
): readonly LineFixture[] {
  const evidence = {daemon: ENTRY, cause, heartbeats};
  return [
    {atMs: 0, daemon: 'front-b', event: 'daemonReady', node: LEADER},
    {atMs: 0, daemon: ENTRY, event: 'daemonReady', node: '10.0.0.1'},
    {
      atMs: 900,
      daemon: ENTRY,
      event: 'leaseRegained',
      lapsedMs: null,
      sinceStartMs: 800,
    },
    {...evidence, atMs: LOST_MS, event: 'leaseLost', expiredMs: 100},
    {...evidence, atMs: LOST_MS + 2_000, event: 'leaseMissing'},
    {atMs: REGAINED_MS, daemon: ENTRY, event: 'leaseRegained', lapsedMs: 4_100},
  ];
}

function createUnconfirmed(reason: string): LineFixture {
  return {
    atMs: ASKED_MS - 500,
    daemon: 'front-b',
    event: 'leaderUnconfirmed',
    reason,
    unconfirmedMs: 1_500,
    silent: ['10.0.0.1', '10.0.0.3'],
  };
}

function createLeaderless(daemon: string, isVoter: boolean): LineFixture {
  const voters = isVoter ? ['10.0.0.1', LEADER, '10.0.0.3'] : [];
  return {
    atMs: ASKED_MS - 1_000,
    daemon,
    event: 'leaderMissing',
    isVoter,
    voters,
  };
}

function findState(
  lines: readonly LineFixture[],
  atMs = ASKED_MS,
): LeaseState | undefined {
  return createLeaseExplanation({
    lines: createLines(lines),
    entry: ENTRY,
    at: createAt(atMs),
  })?.state;
}

const SILENT = [`${LEADER} 900 none`, '10.0.0.3 400 none'];
const SENT_TO_LEADER = [`10.0.0.3 900 notLeader 4 ${LEADER}`, SILENT[0]!];

const CASES: readonly {
  readonly name: string;
  readonly lines: readonly LineFixture[];
  readonly sentence: string;
}[] = [
  {
    name: 'nobody replies',
    lines: createLapse('noReply', SILENT),
    sentence: 'no reply from front-b, 10.0.0.3',
  },
  {
    name: 'replies are late',
    lines: createLapse('replyLate', [
      `${LEADER} 1500 unused 640`,
      `${LEADER} 900 unused 810`,
      '10.0.0.3 400 none',
    ]),
    sentence:
      'replies came too late to renew the lease: front-b replied after 810 ms',
  },
  {
    name: 'the leader is silent',
    lines: createLapse('leaderSilent', SENT_TO_LEADER),
    sentence: 'leader front-b did not reply, and its log does not say why',
  },
  {
    name: 'the leader is not confirmed',
    lines: [
      ...createLapse('leaderSilent', SENT_TO_LEADER),
      createUnconfirmed('leaderLeaseLapsed'),
    ],
    sentence:
      'leader front-b was not confirmed for 1500 ms, because its own lease had lapsed; silent: front-a, 10.0.0.3',
  },
  {
    name: 'the leader was confirmed again',
    lines: [
      ...createLapse('noReply', SILENT),
      createUnconfirmed('leaderLeaseLapsed'),
      {atMs: ASKED_MS - 10, daemon: 'front-b', event: 'leaderConfirmed'},
    ],
    sentence: 'no reply from front-b, 10.0.0.3',
  },
  {
    name: 'the group has lost its quorum',
    lines: [
      ...createLapse('noLeader', ['10.0.0.3 400 notLeader 3']),
      createLeaderless('front-b', true),
      createLeaderless('front-c', false),
    ],
    sentence: 'no leader, the group had 1 of 3 copies',
  },
  {
    name: 'the logs of the group are missing',
    lines: createLapse('noLeader', ['10.0.0.3 400 notLeader 3']),
    sentence: 'no leader, and the logs do not say what the group had',
  },
];

t.test('a lapse of a lease is explained by its cause', async t => {
  for (const {name, lines, sentence} of CASES) {
    const state = findState(lines);
    if (state?.kind !== 'missing') {
      t.fail(name);
      continue;
    }
    t.equal(describeLeaseCause(state.cause), sentence, name);
    t.same(state.from, createAt(LOST_MS - 100), name);
    t.same(state.until, createAt(REGAINED_MS), name);
  }
});

t.test('an entry has a lease between its lapses', async t => {
  const lines = createLapse('noReply', SILENT);
  t.match(findState(lines, 500), {kind: 'missing', from: createAt(100)});
  t.match(findState(lines, 5_000), {kind: 'held'});
  t.match(findState(lines, LOST_MS - 50), {kind: 'missing'});
  t.match(findState(lines, REGAINED_MS), {kind: 'held'});
  t.equal(findState([]), undefined);
});

t.test('the explanation of a lease is formatted with the lines', async t => {
  const lines = createLines([
    ...createLapse('noReply', SILENT),
    {atMs: ASKED_MS - 100, daemon: 'front-b', event: 'roleChanged', term: 3},
    {atMs: ASKED_MS, daemon: ENTRY, event: 'requestRefused', request: 'r1'},
  ]);
  const at = createAt(ASKED_MS);
  const explanation = createLeaseExplanation({lines, entry: '10.0.0.1', at})!;
  t.equal(
    formatLeaseExplanation(explanation),
    [
      'front-a at 2026-12-04T10:00:12.000Z: no lease for 2100 ms, until 2026-12-04T10:00:14.000Z: no reply from front-b, 10.0.0.3',
      '  -2000 ms [entry] front-a leaseLost cause=noReply heartbeats=["10.0.0.2 900 none","10.0.0.3 400 none"] expiredMs=100',
      '   -100 ms [control] front-b roleChanged term=3',
      '     +0 ms [entry] front-a leaseMissing cause=noReply heartbeats=["10.0.0.2 900 none","10.0.0.3 400 none"]',
      '  +2000 ms [entry] front-a leaseRegained lapsedMs=4100',
    ].join('\n'),
  );
});

t.test('a time is given in one of three forms', async t => {
  const first = createAt(0);
  const at = createAt(40_200);
  const texts = ['40.2', '10:00:40.2', '2026-12-04T10:00:40.200Z'];
  texts.forEach(text => t.same(parseTime(text, first), at, text));
  t.equal(parseTime('soon', first), undefined);
  t.equal(parseTime('', first), undefined);
});
