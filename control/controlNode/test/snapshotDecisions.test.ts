import t from 'tap';

import type {ControlDecision} from '@gentianshunt/controlModel';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';

const ELECTION_STEPS = 300;
/** More commands than the members of the fixture keep before a snapshot. */
const COMMANDS = 2_100;
const STEPS_PER_COMMAND = 1;
const TRANSFER_STEPS = 300;

/** Starts members, and sends the leader enough commands for snapshots. */
function createDeployment(): TestDeployment {
  const deployment = createTestDeployment(3);
  deployment.run(ELECTION_STEPS);
  return deployment;
}

function sendCommands(deployment: TestDeployment, leader: TestMember): void {
  for (let number = 1; number <= COMMANDS; number += 1) {
    deployment.command(leader, number);
    deployment.run(STEPS_PER_COMMAND);
  }
}

function listOfKind<Kind extends ControlDecision['kind']>(
  {decisions}: TestMember,
  kind: Kind,
): readonly Extract<ControlDecision, {readonly kind: Kind}>[] {
  return decisions.filter(decision => decision.kind === kind) as never;
}

t.test('snapshots are logged when stored, sent and received', async t => {
  const deployment = createDeployment();
  const leader = deployment.findLeader()!;
  const follower = deployment.members.find(member => member !== leader)!;
  deployment.setPartitioned(follower, true);
  sendCommands(deployment, leader);
  const stored = listOfKind(leader, 'snapshotStored');
  t.ok(stored.length > 0);
  t.match(stored.at(-1), {origin: 'captured'});
  t.ok(stored.every(({entriesKept, items}) => entriesKept > 0 && items > 0));
  t.ok(stored.every(({durationMs}) => durationMs >= 0));

  deployment.setPartitioned(follower, false);
  deployment.run(TRANSFER_STEPS);
  const sent = listOfKind(deployment.findLeader()!, 'snapshotSent');
  const received = listOfKind(follower, 'snapshotReceived');
  t.match(sent.at(-1), {node: follower.node, outcome: 'completed'});
  t.match(received.at(-1), {
    index: sent.at(-1)!.index,
    chunks: sent.at(-1)!.chunks,
  });
  t.ok(sent.at(-1)!.chunks > 1);
  const installed = listOfKind(follower, 'snapshotStored').find(
    ({index}) => index === sent.at(-1)!.index,
  );
  t.match(installed, {origin: 'received'});
});
