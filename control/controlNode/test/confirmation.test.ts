import type {ControlDecision} from '@gentianshunt/controlModel';
import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';

const ONE_SECOND_STEPS = 100;
const ELECTION_STEPS = 5 * ONE_SECOND_STEPS;

type LeaderDecision = Extract<
  ControlDecision,
  {readonly kind: 'leaderUnconfirmed' | 'leaderConfirmed'}
>;

function listLeaderDecisions(member: TestMember): readonly LeaderDecision[] {
  return member.decisions.filter(
    (decision): decision is LeaderDecision =>
      decision.kind === 'leaderUnconfirmed' ||
      decision.kind === 'leaderConfirmed',
  );
}

t.test('a leader logs why it is not confirmed, and when it is', async t => {
  const deployment = createTestDeployment(3);
  deployment.run(ELECTION_STEPS);
  const leader = deployment.findLeader()!;
  t.match(listLeaderDecisions(leader), [
    {
      kind: 'leaderUnconfirmed',
      reason: 'ownEntryNotApplied',
      unconfirmedMs: 0,
      ownIndex: 1,
      commitIndex: 0,
      voters: 3,
      silent: [],
    },
    {kind: 'leaderConfirmed', commitIndex: 1},
  ]);
});

t.test('a leader that no follower reaches names the silent voters', async t => {
  const deployment = createTestDeployment(3);
  deployment.run(ELECTION_STEPS);
  const leader = deployment.findLeader()!;
  const followers = deployment.members.filter(member => member !== leader);
  const before = listLeaderDecisions(leader).length;
  deployment.setPartitioned(leader, true);
  deployment.run(2 * ONE_SECOND_STEPS);
  t.match(listLeaderDecisions(leader).slice(before), [
    {
      kind: 'leaderUnconfirmed',
      reason: 'leaderLeaseLapsed',
      voters: 3,
      silent: followers.map(({node}) => node),
    },
  ]);
});

function findCandidate({members}: TestDeployment): TestMember | undefined {
  return members.find(({loop}) => loop?.view.role.kind === 'candidate');
}

t.test('a leader that commits nothing says so at intervals', async t => {
  const deployment = createTestDeployment(3);
  while (findCandidate(deployment) === undefined) {
    deployment.run(1);
  }
  const leader = findCandidate(deployment)!;
  const crashed = deployment.members.find(member => member !== leader)!;
  leader.setDiskStalled(true);
  crashed.crash();
  deployment.run(3 * ONE_SECOND_STEPS);
  const line = {reason: 'ownEntryNotApplied', syncedIndex: 0} as const;
  t.match(listLeaderDecisions(leader), [
    {...line, unconfirmedMs: 0, silent: []},
    {...line, silent: [crashed.node]},
    {...line, silent: [crashed.node]},
  ]);
});
