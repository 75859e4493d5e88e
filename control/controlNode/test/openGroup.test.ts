import t from 'tap';

import {createOpenDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {createInvariantChecker, listLostCommands} from './invariantFixture.js';
import type {TestMember} from './memberFixture.js';

const ONE_SECOND_STEPS = 100;
const COMMANDS = 20;

function createLedGroup(count: number): TestDeployment {
  const deployment = createOpenDeployment(count);
  deployment.run(5 * ONE_SECOND_STEPS);
  return deployment;
}

function sendCommands(deployment: TestDeployment, from: number): void {
  for (let number = from; number < from + COMMANDS; number += 1) {
    deployment.command(deployment.findLeader()!, number);
    deployment.run(2);
  }
}

function listMembers(member: TestMember): readonly string[] {
  const {memberships} = member.loop!.view;
  return memberships[memberships.length - 1]!.members.map(
    ({node, role}) => `${node} ${role}`,
  ).sort();
}

function findFollower(deployment: TestDeployment): TestMember {
  const leader = deployment.findLeader();
  return deployment.members.find(member => member !== leader)!;
}

t.test('joining nodes get the log and become voters in pairs', async t => {
  const deployment = createLedGroup(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1);
  const joined = deployment.join('control-8');
  deployment.run(2 * ONE_SECOND_STEPS);
  checker.check();
  const bootstrapVoters = [
    'control-0 voter',
    'control-1 voter',
    'control-2 voter',
  ];
  t.same(listMembers(deployment.findLeader()!), [
    ...bootstrapVoters,
    'control-8 learner',
  ]);
  deployment.join('control-9');
  deployment.run(2 * ONE_SECOND_STEPS);
  checker.check();
  t.same(listMembers(deployment.findLeader()!), [
    ...bootstrapVoters,
    'control-8 voter',
    'control-9 voter',
  ]);
  t.same(listLostCommands(joined, checker.acknowledged), []);
  t.equal(checker.acknowledged.size, COMMANDS);
});

t.test('a node that may not bootstrap a group waits for one', async t => {
  const deployment = createOpenDeployment(0);
  const alone = deployment.join('control-9');
  deployment.run(3 * ONE_SECOND_STEPS);
  t.equal(alone.loop!.view.startCheck.kind, 'checking');
  t.equal(deployment.findLeader(), undefined);
});

t.test('a silent voter of three is not removed', async t => {
  const deployment = createLedGroup(3);
  findFollower(deployment).crash();
  deployment.run(8 * ONE_SECOND_STEPS);
  t.equal(listMembers(deployment.findLeader()!).length, 3);
});

t.test('a joining node replaces a failed voter', async t => {
  const deployment = createLedGroup(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1);
  const failed = findFollower(deployment);
  failed.crash();
  deployment.run(ONE_SECOND_STEPS);
  const joined = deployment.join('control-9');
  deployment.run(8 * ONE_SECOND_STEPS);
  sendCommands(deployment, COMMANDS + 1);
  deployment.run(ONE_SECOND_STEPS);
  checker.check();
  const members = listMembers(deployment.findLeader()!);
  t.equal(members.length, 3);
  t.notOk(members.includes(`${failed.node} voter`));
  t.ok(members.includes('control-9 voter'));
  t.same(listLostCommands(joined, checker.acknowledged), []);
});

t.test('a partition of four nodes into halves leaves a quorum', async t => {
  const deployment = createLedGroup(3);
  const joined = deployment.join('control-9');
  deployment.run(2 * ONE_SECOND_STEPS);
  const partitioned = findFollower(deployment);
  deployment.setPartitioned(partitioned, true);
  deployment.setPartitioned(joined, true);
  deployment.run(3 * ONE_SECOND_STEPS);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1);
  checker.check();
  t.equal(checker.acknowledged.size, COMMANDS);
});

t.test('a voter removed during a partition halts, then rejoins', async t => {
  const deployment = createLedGroup(4);
  const checker = createInvariantChecker(deployment);
  const partitioned = findFollower(deployment);
  deployment.setPartitioned(partitioned, true);
  deployment.run(6 * ONE_SECOND_STEPS);
  sendCommands(deployment, 1);
  t.equal(listMembers(deployment.findLeader()!).length, 3);
  deployment.setPartitioned(partitioned, false);
  deployment.run(3 * ONE_SECOND_STEPS);
  t.equal(partitioned.haltReason?.kind, 'folderReplaced');
  partitioned.replaceFolder();
  partitioned.start();
  deployment.run(3 * ONE_SECOND_STEPS);
  checker.check();
  t.equal(listMembers(deployment.findLeader()!).length, 4);
  t.same(listLostCommands(partitioned, checker.acknowledged), []);
});

t.test('a learner removed during a partition halts, then rejoins', async t => {
  const deployment = createLedGroup(3);
  const learner = deployment.join('control-8');
  deployment.run(2 * ONE_SECOND_STEPS);
  deployment.setPartitioned(learner, true);
  deployment.run(6 * ONE_SECOND_STEPS);
  t.equal(listMembers(deployment.findLeader()!).length, 3);
  deployment.setPartitioned(learner, false);
  deployment.run(2 * ONE_SECOND_STEPS);
  t.equal(learner.haltReason?.kind, 'folderReplaced');
  learner.replaceFolder();
  learner.start();
  deployment.run(2 * ONE_SECOND_STEPS);
  t.ok(listMembers(deployment.findLeader()!).includes('control-8 learner'));
});

t.test('acknowledged commands survive a restart of all members', async t => {
  const deployment = createLedGroup(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1);
  checker.check();
  deployment.members.forEach(member => member.crash());
  deployment.members.forEach(member => member.start());
  deployment.run(4 * ONE_SECOND_STEPS);
  checker.check();
  t.same(listLostCommands(deployment.findLeader()!, checker.acknowledged), []);
  sendCommands(deployment, COMMANDS + 1);
  checker.check();
  t.equal(checker.acknowledged.size, 2 * COMMANDS);
});

/** Counts the changes of the members in the leader's log. */
function countMemberChanges(deployment: TestDeployment): number {
  const {log} = deployment.findLeader()!.loop!.view;
  return [...log.iterateFrom()].filter(
    ({value}) => value.payload.kind === 'membership',
  ).length;
}

t.test(
  'a node that joined and left for good is not admitted again',
  async t => {
    const deployment = createLedGroup(3);
    const before = countMemberChanges(deployment);
    const joined = deployment.join('control-8');
    deployment.run(2 * ONE_SECOND_STEPS);
    deployment.remove(joined);
    deployment.run(10 * ONE_SECOND_STEPS);
    t.equal(listMembers(deployment.findLeader()!).length, 3);
    t.equal(countMemberChanges(deployment) - before, 2, 'admitted and removed');
  },
);

t.test('a lost disk is replaced after another node left for good', async t => {
  const deployment = createLedGroup(3);
  const joined = deployment.join('control-8');
  deployment.run(2 * ONE_SECOND_STEPS);
  deployment.remove(joined);
  deployment.run(5 * ONE_SECOND_STEPS);
  const emptied = findFollower(deployment);
  emptied.replaceFolder();
  emptied.start();
  deployment.run(4 * ONE_SECOND_STEPS);
  const {members} = deployment.findLeader()!.loop!.view.memberships.at(-1)!;
  const {storage} = emptied.folder;
  t.match(
    members.find(member => member.storage === storage),
    {role: 'voter'},
  );
});

t.test('a late answer to the hello of a joining node halts it not', async t => {
  const deployment = createLedGroup(3);
  const joined = deployment.join('control-8');
  deployment.inFlight.splice(0).forEach(deployment.deliver);
  const answers = deployment.inFlight.filter(
    ({to, message}) =>
      to === joined.node && message.kind === 'memberHelloReply',
  );
  t.equal(answers.length, 3);
  deployment.run(2 * ONE_SECOND_STEPS);
  t.ok(listMembers(joined).includes('control-8 learner'));
  answers.forEach(deployment.deliver);
  t.equal(joined.haltReason, undefined);
});

t.test('a node that joins is not silent before it could answer', async t => {
  const deployment = createLedGroup(3);
  const before = countMemberChanges(deployment);
  const joined = deployment.join('control-8');
  // The node is admitted, and hears nothing of it for a while.
  deployment.run(1);
  deployment.setPartitioned(joined, true);
  deployment.run(2 * ONE_SECOND_STEPS);
  deployment.setPartitioned(joined, false);
  deployment.run(2 * ONE_SECOND_STEPS);
  t.equal(listMembers(deployment.findLeader()!).length, 4);
  t.equal(countMemberChanges(deployment) - before, 1, 'admitted once');
});

t.test('a member that knew none of the others joins them again', async t => {
  const deployment = createLedGroup(3);
  const [away, ...known] = deployment.members;
  away!.crash();
  for (const [index, former] of known.entries()) {
    deployment.join(`control-${8 + index}`);
    deployment.run(4 * ONE_SECOND_STEPS);
    deployment.remove(former);
    deployment.run(8 * ONE_SECOND_STEPS);
  }
  const others = deployment.members.filter(member => member !== away);
  away!.start();
  away!.loop!.post({
    kind: 'membersLearnt',
    members: others.map(({node}) => node),
  });
  deployment.run(4 * ONE_SECOND_STEPS);
  t.equal(away!.haltReason?.kind, 'folderReplaced');
});
