import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ConsensusMessage, Member, StorageId} from '@gentianshunt/messages';
import t from 'tap';

import {createOpenDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';

const START_STEPS = 500;
/** Longer than a heartbeat and a resend together. */
const ANSWER_STEPS = 100;

/** A group of three whose leader's links and disk the test operates. */
function createGroup() {
  const deployment = createOpenDeployment(3);
  deployment.run(START_STEPS);
  const leader = deployment.findLeader()!;
  const [voter, other] = deployment.members.filter(each => each !== leader);
  deployment.inFlight.splice(0);
  const send = (
    node: NodeId,
    storage: StorageId,
    message: ConsensusMessage,
  ): void => {
    const receiver = leader.folder.storage;
    deployment.deliver({
      from: node,
      to: leader.node,
      sender: storage,
      receiver,
      message,
    });
  };
  return {
    deployment,
    leader,
    voter: voter!,
    other: other!,
    send,
    sayHello: (node: string) =>
      send(toIdentifier(node), toIdentifier(`${node}-new`), {
        kind: 'memberHello',
        formed: false,
        start: 1,
      }),
  };
}

/** Delivers the messages in flight to one member. */
function deliverTo(deployment: TestDeployment, member: TestMember): void {
  deployment.inFlight
    .splice(0)
    .filter(({to}) => to === member.node)
    .forEach(deployment.deliver);
}

function listMembers({loop}: TestMember): readonly Member[] {
  return loop!.view.memberships.at(-1)!.members;
}

t.test('a copy on a disk that is lost does not count', t => {
  const {deployment, leader, voter, sayHello} = createGroup();
  // A change of the members keeps the leader from replacing the voter at once.
  sayHello('control-8');
  const {commitIndex} = leader.loop!.view.logStatus;
  deliverTo(deployment, voter);
  voter.sync();
  deliverTo(deployment, leader);
  sayHello(voter.node);
  leader.sync();
  t.equal(leader.loop!.view.logStatus.commitIndex, commitIndex);
  deployment.run(ANSWER_STEPS);
  t.ok(leader.loop!.view.logStatus.commitIndex > commitIndex);
  t.end();
});

t.test('a late hello of a former folder loses no voter', t => {
  const {deployment, leader, voter, other, sayHello} = createGroup();
  deployment.setPartitioned(other, true);
  sayHello('control-8');
  sayHello(voter.node);
  deployment.run(ANSWER_STEPS);
  const members = listMembers(leader);
  t.ok(members.some(({node}) => node === 'control-8'));
  t.equal(
    leader.loop!.view.logStatus.commitIndex,
    leader.loop!.view.logStatus.lastIndex,
  );
  t.end();
});

t.test('a node whose disk is lost is admitted before new nodes', t => {
  const {deployment, leader, voter, sayHello} = createGroup();
  for (const node of ['control-8', 'control-9', voter.node]) {
    sayHello(node);
  }
  const countMembers = (): number => listMembers(leader).length;
  t.equal(countMembers(), 4, 'control-8 is admitted');
  for (let step = 0; step < ANSWER_STEPS && countMembers() < 5; step += 1) {
    deployment.run(1);
  }
  t.equal(countMembers(), 5, 'control-9 is admitted');
  t.match(
    listMembers(leader).find(({node}) => node === voter.node),
    {storage: `${voter.node}-new`},
  );
  t.end();
});
