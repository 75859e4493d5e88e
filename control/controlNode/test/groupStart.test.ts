import t from 'tap';

import {createOpenDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';

const STEP_MS = 10;
const START_STEPS = 500;
const ELECTION_STEPS = 400 / STEP_MS;
/** The lease of a leader ends this long after its last contact. */
const LEASE_STEPS = 640 / STEP_MS;

function createLedGroup(): TestDeployment {
  const deployment = createOpenDeployment(3);
  deployment.run(START_STEPS);
  return deployment;
}

function restart(member: TestMember): void {
  member.crash();
  member.start();
}

/** Returns whether a member other than the given one leads. */
function hasOtherLeader(
  {members}: TestDeployment,
  former: TestMember,
): boolean {
  return members.some(
    member => member !== former && member.loop!.view.role.kind === 'leader',
  );
}

/** Drops what a leader replicates; other messages are delivered. */
function dropAppends({inFlight}: TestDeployment): void {
  const kept = inFlight.filter(({message}) => message.kind !== 'appendRequest');
  inFlight.splice(0, inFlight.length, ...kept);
}

t.test('a group whose members all start elects a leader at once', t => {
  const deployment = createLedGroup();
  deployment.members.forEach(restart);
  deployment.run(ELECTION_STEPS);
  t.ok(deployment.findLeader());
  t.end();
});

t.test('a group elects a leader at once if a disk is lost as well', t => {
  const deployment = createLedGroup();
  const [emptied] = deployment.members;
  deployment.members.forEach(member => member.crash());
  emptied!.replaceFolder();
  deployment.members.forEach(member => member.start());
  deployment.run(ELECTION_STEPS);
  t.ok(deployment.findLeader());
  t.end();
});

t.test('members that start elect nobody while a silent one may lead', t => {
  const deployment = createLedGroup();
  const leader = deployment.findLeader()!;
  deployment.setPartitioned(leader, true);
  deployment.members.filter(each => each !== leader).forEach(restart);
  deployment.run(LEASE_STEPS);
  t.notOk(hasOtherLeader(deployment, leader));
  t.end();
});

t.test('members that start elect nobody while a leader answers them', t => {
  const deployment = createLedGroup();
  const leader = deployment.findLeader()!;
  deployment.members.filter(each => each !== leader).forEach(restart);
  for (let step = 0; step < LEASE_STEPS; step += 1) {
    dropAppends(deployment);
    deployment.run(1);
  }
  t.equal(leader.loop!.view.role.kind, 'leader');
  t.notOk(hasOtherLeader(deployment, leader));
  t.end();
});

t.test('an answer to the hello of a former start ends no wait', t => {
  const deployment = createLedGroup();
  const [first, second, third] = deployment.members;
  // All start; the answers to the first two arrive after a leader is elected.
  deployment.members.forEach(restart);
  deployment.inFlight.splice(0).forEach(deployment.deliver);
  const late = deployment.inFlight.filter(
    ({message}) => message.kind === 'memberHelloReply',
  );
  deployment.run(START_STEPS);
  const leader = deployment.findLeader()!;
  const followers = [first!, second!, third!].filter(each => each !== leader);
  deployment.setPartitioned(leader, true);
  followers.forEach(restart);
  deployment.setPartitioned(leader, false);
  late.forEach(deployment.deliver);
  deployment.setPartitioned(leader, true);
  deployment.run(LEASE_STEPS);
  t.notOk(hasOtherLeader(deployment, leader));
  t.end();
});
