import t from 'tap';

import {
  LARGE_DOCUMENT_BYTES,
  LOW_LOG_BOUNDS,
  ONE_SECOND_STEPS,
  countBytes,
  createLedDeployment,
  createReplacement,
  createReplacementRequest,
  readVersion,
  replaceConfiguration,
  sendAsEntry,
} from './documentFixture.js';
import type {TestMember} from './memberFixture.js';

function countReplacements(member: TestMember): number {
  return [...member.loop!.view.log.iterateFrom()].filter(
    ({value}) => value.payload.kind === 'replaceConfiguration',
  ).length;
}

t.test('a document that waits for its commit is not appended again', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  deployment.members
    .filter(member => member !== leader)
    .forEach(member => deployment.setPartitioned(member, true));
  for (let attempt = 1; attempt <= 8; attempt += 1) {
    const correlation = `attempt-${attempt}`;
    sendAsEntry(
      leader,
      createReplacementRequest(createReplacement(7), correlation),
    );
    deployment.run(5);
  }
  t.equal(countReplacements(leader), 1);
  deployment.members.forEach(member =>
    deployment.setPartitioned(member, false),
  );
  deployment.run(3 * ONE_SECOND_STEPS);
  const answered = leader.replies.filter(
    reply => reply.kind === 'replacementReply' && reply.version === 7,
  );
  t.equal(answered.length, 8, 'each request is answered');
  t.end();
});

t.test('an older document is not appended behind a newer one', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  replaceConfiguration(deployment, 8);
  replaceConfiguration(deployment, 7);
  t.equal(countReplacements(leader), 1);
  deployment.run(5);
  const answered = leader.replies.filter(
    reply => reply.kind === 'replacementReply',
  );
  t.equal(answered.length, 2, 'both requests are answered');
  t.end();
});

t.test('a burst of documents waits for the commits of earlier ones', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  const followers = deployment.members.filter(member => member !== leader);
  followers.forEach(member => deployment.setPartitioned(member, true));
  for (let version = 1; version <= 20; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(1);
  }
  const log = [...leader.loop!.view.log.iterateFrom()];
  const bytes = countBytes(log.map(({value}) => value));
  t.ok(
    bytes <= LOW_LOG_BOUNDS.uncommittedBytes + 2 * LARGE_DOCUMENT_BYTES,
    `${bytes}`,
  );
  followers.forEach(member => deployment.setPartitioned(member, false));
  deployment.run(ONE_SECOND_STEPS);
  replaceConfiguration(deployment, 20);
  deployment.run(ONE_SECOND_STEPS);
  t.same(deployment.members.map(readVersion), [20, 20, 20]);
  t.end();
});

t.test('a leader with a stalled disk commits, within a bound', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  leader.setDiskStalled(true);
  for (let version = 1; version <= 4; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(3);
  }
  t.equal(readVersion(leader), 4);
  for (let version = 5; version <= 30; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(3);
  }
  const queued = countBytes(leader.listQueued());
  const bound = LOW_LOG_BOUNDS.unsyncedBytes + 2 * LARGE_DOCUMENT_BYTES;
  t.ok(queued <= bound, `${queued} bytes`);
  t.end();
});
