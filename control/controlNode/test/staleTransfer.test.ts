import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {
  LOW_LOG_BOUNDS,
  ONE_SECOND_STEPS,
  createLedDeployment,
  listFollowers,
  replaceConfiguration,
} from './documentFixture.js';
import type {TestMember} from './memberFixture.js';

const MAX_STEPS = 500;
const VERSIONS_BEFORE = 20;
const VERSIONS_AFTER = 30;
const COMMANDS = 20;

function replaceMany(
  deployment: TestDeployment,
  first: number,
  count: number,
): void {
  for (let version = first; version < first + count; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(3);
  }
}

function isReceiving(leader: TestMember, {node}: TestMember): boolean {
  const progress = leader.loop!.view.followerProgress.get(node);
  return progress !== undefined && progress.transfer !== null;
}

/** Cuts an emptied member off while it receives a snapshot. */
function interruptTransfer(
  deployment: TestDeployment,
  leader: TestMember,
): TestMember {
  const learner = listFollowers(deployment)[0]!;
  learner.replaceFolder();
  learner.start();
  for (
    let step = 0;
    step < MAX_STEPS && !isReceiving(leader, learner);
    step += 1
  ) {
    deployment.run(1);
  }
  deployment.setPartitioned(learner, true);
  return learner;
}

/** Lists the indices after the base of the log that hold no entry. */
function listMissing({loop}: TestMember): readonly number[] {
  const {log, logStatus} = loop!.view;
  const {base, lastIndex} = logStatus;
  const missing: number[] = [];
  for (let index = base.index + 1; index <= lastIndex; index += 1) {
    if (log.get(index) === undefined) {
      missing.push(index);
    }
  }
  return missing;
}

t.test('a transfer that stands still moves the base of the log back', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  replaceMany(deployment, 1, VERSIONS_BEFORE);
  const learner = interruptTransfer(deployment, leader);
  replaceMany(deployment, VERSIONS_BEFORE + 1, VERSIONS_AFTER);
  t.ok(isReceiving(leader, learner), 'the transfer goes on');
  const before = leader.loop!.view.logStatus.base.index;
  for (
    let number = 1;
    number <= COMMANDS && listMissing(leader).length === 0;
    number += 1
  ) {
    deployment.command(leader, number);
    deployment.run(1);
  }
  const {base} = leader.loop!.view.logStatus;
  t.ok(base.index >= before, `base ${base.index} after ${before}`);
  t.type(base.term, 'number');
  t.same(listMissing(leader), [], 'the log has no gap');
  t.end();
});

t.test('a deposed leader moves the base of its log back', t => {
  const deployment = createTestDeployment(5, LOW_LOG_BOUNDS);
  deployment.run(5 * ONE_SECOND_STEPS);
  const former = deployment.findLeader()!;
  replaceMany(deployment, 1, VERSIONS_BEFORE);
  const learner = interruptTransfer(deployment, former);
  deployment.setPartitioned(former, true);
  deployment.setPartitioned(learner, false);
  deployment.run(5 * ONE_SECOND_STEPS);
  deployment.setPartitioned(former, false);
  deployment.run(5 * ONE_SECOND_STEPS);
  t.equal(former.loop!.view.role.kind, 'follower');
  replaceMany(deployment, VERSIONS_BEFORE + 1, VERSIONS_AFTER);
  const before = former.loop!.view.logStatus.base.index;
  for (
    let number = 1;
    number <= COMMANDS && listMissing(former).length === 0;
    number += 1
  ) {
    deployment.command(deployment.findLeader()!, number);
    deployment.run(1);
  }
  const {base} = former.loop!.view.logStatus;
  t.ok(base.index >= before, `base ${base.index} after ${before}`);
  t.same(listMissing(former), [], 'the log has no gap');
  t.end();
});

t.test('a follower that is down lets the leader move the base back', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  const follower = listFollowers(deployment)[0]!;
  deployment.setPartitioned(follower, true);
  replaceMany(deployment, 1, VERSIONS_BEFORE);
  deployment.run(2 * ONE_SECOND_STEPS);
  t.ok(isReceiving(leader, follower), 'a transfer begins');
  replaceMany(deployment, VERSIONS_BEFORE + 1, VERSIONS_AFTER);
  for (
    let number = 1;
    number <= COMMANDS && listMissing(leader).length === 0;
    number += 1
  ) {
    deployment.command(leader, number);
    deployment.run(1);
  }
  t.same(listMissing(leader), [], 'the log has no gap');
  t.end();
});
