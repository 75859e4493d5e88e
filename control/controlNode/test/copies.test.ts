import type {ControlDecision} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';

const ONE_SECOND_STEPS = 100;

type CopyDecision = Extract<
  ControlDecision,
  {readonly kind: 'copiesMissing' | 'copiesComplete'}
>;

function createLedGroup(): TestDeployment {
  const deployment = createTestDeployment(3);
  deployment.run(5 * ONE_SECOND_STEPS);
  return deployment;
}

function findFollower(deployment: TestDeployment): TestMember {
  const leader = deployment.findLeader();
  return deployment.members.find(member => member !== leader)!;
}

function listCopyDecisions(
  deployment: TestDeployment,
): readonly CopyDecision[] {
  return deployment
    .findLeader()!
    .decisions.filter(
      (decision): decision is CopyDecision =>
        decision.kind === 'copiesMissing' || decision.kind === 'copiesComplete',
    );
}

t.test('a voter that is gone and back is logged as a missing copy', async t => {
  const deployment = createLedGroup();
  t.same(listCopyDecisions(deployment), []);
  const follower = findFollower(deployment);
  follower.crash();
  deployment.run(4 * ONE_SECOND_STEPS);
  const missing = [{node: follower.node}];
  const expected = {kind: 'copiesMissing', voters: 3, copies: 2, missing};
  t.match(listCopyDecisions(deployment), [expected, expected]);
  follower.start();
  deployment.run(2 * ONE_SECOND_STEPS);
  t.match(listCopyDecisions(deployment), [
    expected,
    expected,
    {kind: 'copiesComplete', voters: 3},
  ]);
});

/** Drops the requests that bring entries to a member. */
function dropEntries({inFlight}: TestDeployment, {node}: TestMember): void {
  const kept = inFlight.filter(
    ({to, message}) =>
      to !== node ||
      message.kind !== 'appendRequest' ||
      message.entries.length === 0,
  );
  inFlight.splice(0, inFlight.length, ...kept);
}

t.test('a voter that answers and stores nothing is no copy', async t => {
  const deployment = createLedGroup();
  const follower = findFollower(deployment);
  deployment.command(deployment.findLeader()!, 1);
  for (let step = 0; step < 2 * ONE_SECOND_STEPS; step += 1) {
    dropEntries(deployment, follower);
    deployment.run(1);
  }
  t.match(listCopyDecisions(deployment), [
    {kind: 'copiesMissing', copies: 2, missing: [{node: follower.node}]},
  ]);
});

t.test('the leader lists the members with their silence and lag', async t => {
  const deployment = createLedGroup();
  const leader = deployment.findLeader()!;
  const follower = findFollower(deployment);
  follower.crash();
  deployment.run(ONE_SECOND_STEPS);
  deployment.command(leader, 1);
  deployment.run(ONE_SECOND_STEPS);
  leader.loop!.post({
    kind: 'entryMessage',
    from: toIdentifier('entry-0'),
    message: {
      kind: 'controlQueryRequest',
      correlation: toIdentifier('q1'),
      query: {kind: 'members'},
    },
  });
  const reply = leader.replies.at(-1);
  const members =
    reply?.kind === 'controlQueryReply' && reply.result.kind === 'members'
      ? reply.result.members
      : [];
  const lagging = members.filter(({lagEntries}) => lagEntries !== 0);
  t.equal(members.length, 3);
  t.match(lagging, [{node: follower.node, role: 'voter', lagEntries: 1}]);
  t.ok(lagging[0]!.silentMs! >= 10 * ONE_SECOND_STEPS);
  t.match(
    members.find(({node}) => node === leader.node),
    {silentMs: 0},
  );
});

t.test('a member without a leader logs what it knows of the group', async t => {
  const deployment = createLedGroup();
  const [lost, emptied, rest] = deployment.members;
  lost!.crash();
  emptied!.replaceFolder();
  emptied!.start();
  deployment.run(4 * ONE_SECOND_STEPS);
  const lines = [emptied!, rest!].map(({decisions}) =>
    decisions.filter(({kind}) => kind === 'leaderMissing').at(-1),
  );
  t.match(lines, [
    {folder: 'checking', isVoter: false, voters: [], votes: []},
    {folder: 'ready', isVoter: true, votes: [rest!.node], lastIndex: 1},
  ]);
});
