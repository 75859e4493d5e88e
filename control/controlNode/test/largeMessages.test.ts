import t from 'tap';

import {
  LARGE_DOCUMENT_BYTES,
  ONE_SECOND_STEPS,
  countBytes,
  createLedDeployment,
  createReplacement,
  createReplacementRequest,
  listFollowers,
  readVersion,
  replaceConfiguration,
  sendAsEntry,
} from './documentFixture.js';

/** The largest message that carries more than one entry or item. */
const MESSAGE_BYTES = 128 * 1_024;

t.test('a member is sent large entries in bounded messages', t => {
  const deployment = createLedDeployment();
  const follower = listFollowers(deployment)[0]!;
  deployment.setPartitioned(follower, true);
  for (let version = 1; version <= 30; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(2);
  }
  deployment.setPartitioned(follower, false);
  const sizes: number[] = [];
  for (let step = 0; step < 3 * ONE_SECOND_STEPS; step += 1) {
    deployment.run(1);
    const sent = deployment.inFlight.filter(({to}) => to === follower.node);
    sizes.push(...sent.map(({message}) => countBytes(message)));
  }
  const largest = Math.max(...sizes);
  t.equal(readVersion(follower), 30);
  t.ok(largest <= MESSAGE_BYTES + LARGE_DOCUMENT_BYTES, `${largest} bytes`);
  t.end();
});

t.test('a slow learner completes a snapshot while others are captured', t => {
  const deployment = createLedDeployment();
  const size = {organisations: 600, keyLength: 8};
  const replacement = createReplacement(1, size);
  sendAsEntry(deployment.findLeader()!, createReplacementRequest(replacement));
  deployment.run(3);
  // The log no longer begins with the document.
  for (let number = 1; number <= 2_100; number += 1) {
    deployment.command(deployment.findLeader()!, number);
    deployment.run(number % 100 === 0 ? 2 : 0);
  }
  const learner = listFollowers(deployment)[0]!;
  learner.replaceFolder();
  learner.start();
  for (let number = 2_101; number <= 2_400; number += 2) {
    deployment.command(deployment.findLeader()!, number);
    deployment.command(deployment.findLeader()!, number + 1);
    deployment.run(1);
  }
  t.equal(readVersion(learner), 1);
  t.end();
});
