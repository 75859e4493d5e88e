import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {createInvariantChecker, listLost} from './invariantFixture.js';
import type {TestMember} from './memberFixture.js';

const ONE_SECOND_STEPS = 100;
/** Enough for several snapshots of the fixture. */
const MANY_COMMANDS = 60;

/** Starts a deployment that has a leader. */
function createLedDeployment(count: number): TestDeployment {
  const deployment = createTestDeployment(count);
  deployment.settle(5 * ONE_SECOND_STEPS);
  return deployment;
}

function sendCommands(
  deployment: TestDeployment,
  from: number,
  count: number,
): void {
  for (let number = from; number < from + count; number += 1) {
    deployment.command(deployment.findLeader()!, number);
    deployment.settle(2);
  }
}

function listFollowers(deployment: TestDeployment): readonly TestMember[] {
  const leader = deployment.findLeader();
  return deployment.members.filter(member => member !== leader);
}

function listRoles(member: TestMember): readonly string[] {
  const {memberships} = member.loop!.view;
  return memberships[memberships.length - 1]!.members.map(each => each.role);
}

for (const count of [3, 5]) {
  t.test(`${count} members: a lost folder is admitted again`, t => {
    const deployment = createLedDeployment(count);
    const checker = createInvariantChecker(deployment);
    sendCommands(deployment, 1, MANY_COMMANDS);
    const lost = listFollowers(deployment)[0]!;
    lost.replaceFolder();
    deployment.settle(ONE_SECOND_STEPS);
    lost.start();
    t.equal(lost.loop!.view.startCheck.kind, 'checking');
    deployment.settle(2 * ONE_SECOND_STEPS);
    checker.check();
    t.same(listRoles(deployment.findLeader()!), Array(count).fill('voter'));
    t.same(listLost(lost, checker.acknowledged), []);
    t.equal(checker.acknowledged.size, MANY_COMMANDS);
    t.end();
  });
}

t.test('5 members: service goes on when a second folder is lost', t => {
  const deployment = createLedDeployment(5);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1, MANY_COMMANDS);
  const [first, second] = listFollowers(deployment);
  first!.replaceFolder();
  first!.start();
  deployment.settle(3);
  second!.replaceFolder();
  sendCommands(deployment, MANY_COMMANDS + 1, 10);
  checker.check();
  t.equal(checker.acknowledged.size, MANY_COMMANDS + 10);
  second!.start();
  deployment.settle(3 * ONE_SECOND_STEPS);
  t.same(listRoles(deployment.findLeader()!), Array(5).fill('voter'));
  t.same(listLost(second!, checker.acknowledged), []);
  t.end();
});

/** Stops a member with a new folder while it is still a learner. */
function crashLearner(deployment: TestDeployment, member: TestMember): void {
  const leader = deployment.findLeader()!;
  member.replaceFolder();
  member.start();
  for (let step = 0; step < 20; step += 1) {
    deployment.settle(1);
    if (listRoles(leader).includes('learner')) {
      break;
    }
  }
  member.crash();
  deployment.settle(5);
}

t.test('3 members: nothing is decided when a second folder is lost', t => {
  const deployment = createLedDeployment(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1, MANY_COMMANDS);
  const leader = deployment.findLeader()!;
  const [first, second] = listFollowers(deployment);
  crashLearner(deployment, first!);
  t.same([...listRoles(leader)].sort(), ['learner', 'voter', 'voter']);
  second!.replaceFolder();
  second!.start();
  deployment.command(leader, MANY_COMMANDS + 1);
  deployment.settle(2 * ONE_SECOND_STEPS);
  first!.start();
  deployment.settle(5 * ONE_SECOND_STEPS);
  checker.check();
  t.equal(checker.acknowledged.size, MANY_COMMANDS);
  t.equal(deployment.findLeader()?.node, undefined, 'no quorum, no leader');
  t.same(listLost(leader, checker.acknowledged), [], 'nothing is lost');
  t.end();
});

t.test('3 members: a learner that returns in time keeps the service', t => {
  const deployment = createLedDeployment(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1, MANY_COMMANDS);
  const leader = deployment.findLeader()!;
  const [first, second] = listFollowers(deployment);
  crashLearner(deployment, first!);
  second!.replaceFolder();
  second!.start();
  first!.start();
  deployment.command(leader, MANY_COMMANDS + 1);
  deployment.settle(5 * ONE_SECOND_STEPS);
  checker.check();
  t.same(listRoles(leader), ['voter', 'voter', 'voter']);
  t.equal(checker.acknowledged.size, MANY_COMMANDS + 1);
  t.same(listLost(second!, checker.acknowledged), []);
  t.end();
});

t.test('a folder of an earlier state is refused', t => {
  const deployment = createLedDeployment(3);
  const [follower] = listFollowers(deployment);
  const old = follower!.folder;
  sendCommands(deployment, 1, 5);
  follower!.replaceFolder(old);
  follower!.start();
  deployment.settle(5);
  t.equal(follower!.haltReason?.kind, 'oldFolder');
  t.end();
});

t.test('a folder that was replaced by another is refused', t => {
  const deployment = createLedDeployment(3);
  sendCommands(deployment, 1, 5);
  const [follower] = listFollowers(deployment);
  const former = follower!.folder;
  follower!.replaceFolder();
  follower!.start();
  deployment.settle(2 * ONE_SECOND_STEPS);
  follower!.replaceFolder(former);
  follower!.start();
  deployment.settle(5);
  t.equal(follower!.haltReason?.kind, 'folderReplaced');
  t.end();
});

t.test('a restarted member votes after hearing of its folder', t => {
  const deployment = createLedDeployment(3);
  const [follower] = listFollowers(deployment);
  follower!.crash();
  follower!.start();
  t.equal(follower!.loop!.view.startCheck.kind, 'checking');
  deployment.settle(5);
  t.equal(follower!.loop!.view.startCheck.kind, 'ready');
  t.end();
});

t.test('the log is cut behind snapshots and a restart recovers all', t => {
  const deployment = createLedDeployment(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1, MANY_COMMANDS);
  checker.check();
  const [follower] = listFollowers(deployment);
  const {snapshot} = follower!.folder.stored;
  t.ok(snapshot!.index > MANY_COMMANDS / 2);
  follower!.crash();
  follower!.start();
  deployment.settle(ONE_SECOND_STEPS);
  t.same(listLost(follower!, checker.acknowledged), []);
  t.end();
});
