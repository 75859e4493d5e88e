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
/** The time in which a group must recover, 12 s. */
const RECOVERY_STEPS = 1_200;
const STEADY_STEPS = 2_000;

/** Runs steps of a deployment. */
type RunSteps = (steps: number, onStep?: (step: number) => void) => void;

/** Creates a run in which each message between members takes a time. */
function createSlowRun(deployment: TestDeployment, delayMs: number): RunSteps {
  const delayed: {readonly message: TestMessage; readonly dueStep: number}[] =
    [];
  let now = 0;
  return (steps, onStep = () => undefined) => {
    for (let step = 0; step < steps; step += 1) {
      now += 1;
      onStep(step);
      deployment.members.forEach(member => member.sync());
      const dueStep = now + delayMs / STEP_MS;
      delayed.push(
        ...deployment.inFlight.splice(0).map(message => ({message, dueStep})),
      );
      while (delayed[0] !== undefined && delayed[0].dueStep <= now) {
        deployment.deliver(delayed.shift()!.message);
      }
      deployment.advance(STEP_MS);
    }
  };
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
  createSlowRun(deployment, 330)(seconds * 100, step => {
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

for (const delayMs of [450, 600, 750]) {
  t.test(`a group with links of ${delayMs} ms keeps a leader`, async t => {
    const {deployment} = createLedDeployment();
    deployment.members.forEach(member => member.crash());
    deployment.members.forEach(member => member.start());
    const run = createSlowRun(deployment, delayMs);
    run(RECOVERY_STEPS);
    const leader = deployment.findLeader();
    const term = leader?.loop!.view.ballot.term;
    run(STEADY_STEPS);
    t.equal(deployment.findLeader(), leader);
    t.ok(leader !== undefined && leader.loop!.view.ballot.term === term);
  });
}
