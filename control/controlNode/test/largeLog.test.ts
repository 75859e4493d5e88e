import {measureLog} from '@gentianshunt/controlModel';
import t from 'tap';

import {
  LARGE_DOCUMENT_BYTES,
  LOW_LOG_BOUNDS,
  ONE_SECOND_STEPS,
  countBytes,
  createLedDeployment,
  listFollowers,
  readVersion,
  replaceConfiguration,
} from './documentFixture.js';

/** Most bytes of changes that are kept for lagging entries. */
const HISTORY_BYTES = 2 * 1_024 * 1_024;

t.test('the log of many large documents does not outgrow its bound', t => {
  const deployment = createLedDeployment();
  const {maxSnapshotIntervalBytes, retainedBytes} = LOW_LOG_BOUNDS;
  // A snapshot, with the history, counts as part of the configuration.
  const bound =
    maxSnapshotIntervalBytes +
    retainedBytes +
    HISTORY_BYTES +
    4 * LARGE_DOCUMENT_BYTES;
  let largest = 0;
  for (let version = 1; version <= 60; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(3);
    const sizes = deployment.members.map(({folder}) => countBytes(folder));
    largest = Math.max(largest, ...sizes);
  }
  deployment.run(ONE_SECOND_STEPS);
  t.same(deployment.members.map(readVersion), [60, 60, 60]);
  t.ok(largest <= bound, `${largest} bytes, at most ${bound}`);
  for (const {loop} of deployment.members) {
    const {bytes} = measureLog(loop!.view);
    const kept = [...loop!.view.log.iterateFrom()].map(({value}) => value);
    t.ok(countBytes(kept) <= bound);
    t.ok(bytes <= maxSnapshotIntervalBytes + retainedBytes);
  }
  t.end();
});

t.test('a member restarts with the latest of many large documents', t => {
  const deployment = createLedDeployment();
  for (let version = 1; version <= 30; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(3);
  }
  for (const member of deployment.members) {
    member.crash();
    member.start();
  }
  deployment.run(2 * ONE_SECOND_STEPS);
  t.same(deployment.members.map(readVersion), [30, 30, 30]);
  t.end();
});

t.test('a stalled disk does not collect snapshots', t => {
  const deployment = createLedDeployment();
  const follower = listFollowers(deployment)[0]!;
  follower.setDiskStalled(true);
  for (let version = 1; version <= 60; version += 1) {
    replaceConfiguration(deployment, version);
    deployment.run(3);
  }
  const queued = follower.listQueued().filter(({kind}) => kind === 'compact');
  t.ok(queued.length <= 1, `${queued.length} snapshots`);
  follower.setDiskStalled(false);
  deployment.run(3 * ONE_SECOND_STEPS);
  t.equal(readVersion(follower), 60);
  t.end();
});
