import t from 'tap';

import type {TestDeployment} from './deploymentFixture.js';
import {createTestDeployment} from './deploymentFixture.js';
import {
  ONE_SECOND_STEPS,
  createReplacement,
  createReplacementRequest,
  sendAsEntry,
} from './documentFixture.js';
import type {TestMember} from './memberFixture.js';

const VERSIONS = 7;
const MAX_STEPS = 20 * ONE_SECOND_STEPS;
/** An election and one resend. */
const LIMIT_STEPS = ONE_SECOND_STEPS;
const LARGE = {organisations: 1_000, keyLength: 256};

function runUntil(deployment: TestDeployment, isDone: () => boolean): number {
  let steps = 0;
  while (steps < MAX_STEPS && !isDone()) {
    deployment.run(1);
    steps += 1;
  }
  return steps;
}

/** Removes the messages with log entries that are on their way. */
function loseEntries({inFlight}: TestDeployment): number {
  const lost = inFlight.filter(
    ({message}) =>
      message.kind === 'appendRequest' && message.entries.length > 0,
  );
  lost.forEach(message => inFlight.splice(inFlight.indexOf(message), 1));
  return lost.length;
}

function hasCommitted(leader: TestMember): boolean {
  const {leadership, logStatus} = leader.loop!.view;
  return (
    leadership.kind === 'leading' &&
    logStatus.commitIndex >= leadership.readIndex
  );
}

t.test('a new leader whose first append is lost cannot commit for long', t => {
  const deployment = createTestDeployment(3);
  deployment.run(5 * ONE_SECOND_STEPS);
  const former = deployment.findLeader()!;
  for (let version = 1; version <= VERSIONS; version += 1) {
    const replacement = createReplacement(version, LARGE);
    sendAsEntry(former, createReplacementRequest(replacement));
    deployment.run(10);
  }
  deployment.remove(former);
  runUntil(deployment, () => deployment.findLeader() !== undefined);
  const leader = deployment.findLeader()!;
  t.ok(loseEntries(deployment) > 0, 'the first append is lost');
  const steps = runUntil(deployment, () => hasCommitted(leader));
  t.ok(steps <= LIMIT_STEPS, `committed after ${steps * 10} ms`);
  t.end();
});
