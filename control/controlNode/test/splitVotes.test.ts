import t from 'tap';

import {createOpenDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';

const START_STEPS = 500;
/** Longer than a candidate waits for votes. */
const STANDSTILL_MS = 500;
const ROUNDS = 10;
const EXCHANGES = 6;

/** Delivers messages and syncs while the time stands still. */
function exchange(deployment: TestDeployment): void {
  for (let count = 0; count < EXCHANGES; count += 1) {
    deployment.members.forEach(member => member.sync());
    deployment.inFlight.splice(0).forEach(deployment.deliver);
  }
}

for (const lost of [0, 1, 2]) {
  // Guards against candidates that vote for themselves in each term.
  t.test(`members that run at the same moments elect one, ${lost}`, t => {
    const deployment = createOpenDeployment(3);
    deployment.run(START_STEPS);
    deployment.members.forEach(member => member.crash());
    deployment.members
      .filter((_, index) => index !== lost)
      .forEach(member => member.start());
    for (let round = 0; round < ROUNDS; round += 1) {
      exchange(deployment);
      deployment.advance(STANDSTILL_MS);
    }
    exchange(deployment);
    t.ok(deployment.findLeader());
    t.end();
  });
}
