import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {createHeartbeat} from './fixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';

const STEP_MS = 10;
const ELECTION_STEPS = 500;
const ENTRY = toIdentifier<NodeId>('entry-0');
const HEARTBEAT_STEPS = 50;

/** Runs steps in which each message between members takes a time. */
function runSlowly(
  deployment: TestDeployment,
  delayMs: number,
  steps: number,
  onStep: (step: number) => void = () => undefined,
): void {
  const delayed: {readonly message: TestMessage; readonly dueStep: number}[] =
    [];
  for (let step = 0; step < steps; step += 1) {
    onStep(step);
    deployment.members.forEach(member => member.sync());
    const dueStep = step + delayMs / STEP_MS;
    delayed.push(
      ...deployment.inFlight.splice(0).map(message => ({message, dueStep})),
    );
    while (delayed[0] !== undefined && delayed[0].dueStep <= step) {
      deployment.deliver(delayed.shift()!.message);
    }
    deployment.advance(STEP_MS);
  }
}

function createLedDeployment(): {
  readonly deployment: TestDeployment;
  readonly leader: TestMember;
} {
  const deployment = createTestDeployment(3);
  deployment.run(ELECTION_STEPS);
  return {deployment, leader: deployment.findLeader()!};
}

t.test('entries get leases while a quorum answers slowly', async t => {
  const {deployment, leader} = createLedDeployment();
  const before = leader.replies.length;
  const seconds = 10;
  runSlowly(deployment, 330, seconds * 100, step => {
    if (step % HEARTBEAT_STEPS === 0) {
      const message = createHeartbeat('entry-0', {sequence: step + 1});
      leader.loop!.post({kind: 'entryMessage', from: ENTRY, message});
    }
  });
  const answered = leader.replies
    .slice(before)
    .filter(
      reply => reply.kind === 'configurationUpdate' && reply.sequence !== null,
    );
  t.ok(answered.length >= seconds, `${answered.length} answers`);
});
