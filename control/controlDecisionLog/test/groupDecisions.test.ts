import type {JoinRequest, Membership} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createJoinController,
  createMemberCountController,
  GROUP_LOG_INTERVAL_MS,
  JOIN_LOG_DELAY_MS,
  MIN_REPETITIONS,
  REPETITION_WINDOW_MS,
} from '../src/index.js';
import {
  createJoinRequest,
  createVoter,
  createWatchFixture,
} from './watchFixture.js';
import type {WatchFixture} from './watchFixture.js';

const STEP_MS = 10;
const BASE = ['control-0', 'control-1'].map(createVoter);
const GONE = createVoter('control-9');

function createMembership(index: number, isAdmitted: boolean): Membership {
  return {index, members: isAdmitted ? [...BASE, GONE] : BASE};
}

/** Lets a node be admitted and removed in turn. */
function toggleMember(
  fixture: WatchFixture,
  changes: number,
  gapMs: number,
): ReturnType<WatchFixture['run']> {
  let memberships = [createMembership(1, false)];
  const decisions = [...fixture.run({memberships})];
  for (let change = 1; change <= changes; change += 1) {
    fixture.advance(gapMs);
    const added = createMembership(change + 1, change % 2 === 1);
    memberships = [...memberships, added];
    decisions.push(...fixture.run({memberships}));
  }
  return decisions;
}

t.test('the same change made again and again is logged once', async t => {
  const fixture = createWatchFixture(createMemberCountController());
  const changes = 100;
  const decisions = toggleMember(fixture, changes, STEP_MS);
  t.match(decisions, [
    {
      kind: 'membersRepeating',
      repetitions: MIN_REPETITIONS,
      nodes: [GONE.node],
    },
  ]);
  t.equal(fixture.view.memberChanges.count, changes);
});

t.test('changes that last are no repetitions', async t => {
  const fixture = createWatchFixture(createMemberCountController());
  const gapMs = REPETITION_WINDOW_MS / MIN_REPETITIONS;
  t.same(toggleMember(fixture, 8, gapMs), []);
});

t.test('a node that waits to join is logged at intervals', async t => {
  const fixture = createWatchFixture(createJoinController());
  const memberships = [createMembership(1, true)];
  const joiningNodes = new Map<NodeId, JoinRequest>([
    [GONE.node, createJoinRequest(GONE.storage, 0)],
    [toIdentifier('control-8'), createJoinRequest('control-8-2', 0)],
  ]);
  t.same(fixture.run({memberships, joiningNodes}), []);
  fixture.advance(JOIN_LOG_DELAY_MS);
  const expected = {kind: 'joinWaiting', waiting: 1} as const;
  t.same(fixture.run({memberships, joiningNodes}), [
    {...expected, nodes: [{node: 'control-8', waitedMs: JOIN_LOG_DELAY_MS}]},
  ]);
  fixture.advance(STEP_MS);
  t.same(fixture.run({memberships, joiningNodes}), []);
  fixture.advance(GROUP_LOG_INTERVAL_MS);
  t.match(fixture.run({memberships, joiningNodes}), [expected]);
});

t.test('a node that comes with another data folder waits anew', async t => {
  const fixture = createWatchFixture(createJoinController());
  const node = toIdentifier<NodeId>('control-8');
  const memberships = [createMembership(1, true)];
  for (const [storage, since] of [
    ['first', 0],
    ['second', JOIN_LOG_DELAY_MS],
  ] as const) {
    const joiningNodes = new Map([[node, createJoinRequest(storage, since)]]);
    t.same(fixture.run({memberships, joiningNodes}), []);
    fixture.advance(JOIN_LOG_DELAY_MS);
  }
});
