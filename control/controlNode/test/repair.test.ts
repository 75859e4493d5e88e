import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {createInvariantChecker, listLostCommands} from './invariantFixture.js';
import type {TestMember} from './memberFixture.js';

const ONE_SECOND_STEPS = 100;
/** Enough commands for several snapshots. */
const MANY_COMMANDS = 60;

/** Starts a deployment that has a leader. */
function createLedDeployment(count: number): TestDeployment {
  const deployment = createTestDeployment(count);
  deployment.run(5 * ONE_SECOND_STEPS);
  return deployment;
}

function sendCommands(
  deployment: TestDeployment,
  from: number,
  count: number,
): void {
  for (let number = from; number < from + count; number += 1) {
    deployment.command(deployment.findLeader()!, number);
    deployment.run(2);
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
  t.test(`${count} members: a node with a new folder votes again`, t => {
    const deployment = createLedDeployment(count);
    const checker = createInvariantChecker(deployment);
    sendCommands(deployment, 1, MANY_COMMANDS);
    const restarted = listFollowers(deployment)[0]!;
    restarted.replaceFolder();
    deployment.run(ONE_SECOND_STEPS);
    restarted.start();
    t.equal(restarted.loop!.view.startCheck.kind, 'checking');
    deployment.run(2 * ONE_SECOND_STEPS);
    checker.check();
    t.same(listRoles(deployment.findLeader()!), Array(count).fill('voter'));
    t.same(listLostCommands(restarted, checker.acknowledged), []);
    t.equal(checker.acknowledged.size, MANY_COMMANDS);
    t.end();
  });
}

t.test('5 members: commands are applied after a second folder is lost', t => {
  const deployment = createLedDeployment(5);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1, MANY_COMMANDS);
  const [first, second] = listFollowers(deployment);
  first!.replaceFolder();
  first!.start();
  deployment.run(3);
  second!.replaceFolder();
  sendCommands(deployment, MANY_COMMANDS + 1, 10);
  checker.check();
  t.equal(checker.acknowledged.size, MANY_COMMANDS + 10);
  second!.start();
  deployment.run(3 * ONE_SECOND_STEPS);
  t.same(listRoles(deployment.findLeader()!), Array(5).fill('voter'));
  t.same(listLostCommands(second!, checker.acknowledged), []);
  t.end();
});

/** Replaces a member's folder and crashes it while it is a learner. */
function crashLearner(deployment: TestDeployment, member: TestMember): void {
  const leader = deployment.findLeader()!;
  member.replaceFolder();
  member.start();
  for (let step = 0; step < 20; step += 1) {
    deployment.run(1);
    if (listRoles(leader).includes('learner')) {
      break;
    }
  }
  member.crash();
  deployment.run(5);
}

t.test('3 members: no command is applied after a second folder is lost', t => {
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
  deployment.run(2 * ONE_SECOND_STEPS);
  first!.start();
  deployment.run(5 * ONE_SECOND_STEPS);
  checker.check();
  t.equal(checker.acknowledged.size, MANY_COMMANDS);
  t.equal(
    deployment.findLeader()?.node,
    undefined,
    'no leader without a quorum',
  );
  t.same(
    listLostCommands(leader, checker.acknowledged),
    [],
    'no acknowledged command is lost',
  );
  t.end();
});

t.test('3 members: a returning learner restores the quorum', t => {
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
  deployment.run(5 * ONE_SECOND_STEPS);
  checker.check();
  t.same(listRoles(leader), ['voter', 'voter', 'voter']);
  t.equal(checker.acknowledged.size, MANY_COMMANDS + 1);
  t.same(listLostCommands(second!, checker.acknowledged), []);
  t.end();
});

t.test('a member with an older copy of its folder halts', t => {
  const deployment = createLedDeployment(3);
  const [follower] = listFollowers(deployment);
  const old = follower!.folder;
  sendCommands(deployment, 1, 5);
  follower!.replaceFolder(old);
  follower!.start();
  deployment.run(5);
  t.equal(follower!.haltReason?.kind, 'oldFolder');
  t.end();
});

t.test('a member with a folder that was replaced halts', t => {
  const deployment = createLedDeployment(3);
  sendCommands(deployment, 1, 5);
  const [follower] = listFollowers(deployment);
  const former = follower!.folder;
  follower!.replaceFolder();
  follower!.start();
  deployment.run(2 * ONE_SECOND_STEPS);
  follower!.replaceFolder(former);
  follower!.start();
  deployment.run(5);
  t.equal(follower!.haltReason?.kind, 'folderReplaced');
  t.end();
});

t.test('a restarted member is ready once the others confirm its folder', t => {
  const deployment = createLedDeployment(3);
  const [follower] = listFollowers(deployment);
  follower!.crash();
  follower!.start();
  t.equal(follower!.loop!.view.startCheck.kind, 'checking');
  deployment.run(5);
  t.equal(follower!.loop!.view.startCheck.kind, 'ready');
  t.end();
});

t.test('the log is compacted and a restart recovers all commands', t => {
  const deployment = createLedDeployment(3);
  const checker = createInvariantChecker(deployment);
  sendCommands(deployment, 1, MANY_COMMANDS);
  checker.check();
  const [follower] = listFollowers(deployment);
  const {snapshot} = follower!.folder.stored;
  t.ok(snapshot!.index > MANY_COMMANDS / 2);
  follower!.crash();
  follower!.start();
  deployment.run(ONE_SECOND_STEPS);
  t.same(listLostCommands(follower!, checker.acknowledged), []);
  t.end();
});
