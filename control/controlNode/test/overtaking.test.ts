import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';

const ONE_SECOND_STEPS = 100;
/** Longer than a heartbeat interval, shorter than the time to a resend. */
const HELD_STEPS = 45;
const DOCUMENT_BYTES = 256 * 1_024;

/** Takes the messages with log entries that are on their way to a member. */
function takeEntries(
  {inFlight}: TestDeployment,
  {node}: TestMember,
): readonly TestMessage[] {
  const taken = inFlight.filter(
    ({to, message}) =>
      to === node &&
      message.kind === 'appendRequest' &&
      message.entries.length > 0,
  );
  taken.forEach(message => inFlight.splice(inFlight.indexOf(message), 1));
  return taken;
}

function postLargeDocument({loop}: TestMember): void {
  loop!.post({
    kind: 'entryMessage',
    from: toIdentifier('entry-0'),
    message: {
      kind: 'replacementRequest',
      correlation: toIdentifier('request-1'),
      replacement: {
        version: 7,
        objects: [],
        source: new Uint8Array(DOCUMENT_BYTES),
      },
    },
  });
}

t.test(
  'a heartbeat that overtakes a large entry does not cause a resend',
  t => {
    const deployment = createTestDeployment(3);
    deployment.run(5 * ONE_SECOND_STEPS);
    const leader = deployment.findLeader()!;
    const follower = deployment.members.find(member => member !== leader)!;
    postLargeDocument(leader);
    const held: TestMessage[] = [];
    for (let step = 0; step < HELD_STEPS; step += 1) {
      held.push(...takeEntries(deployment, follower));
      deployment.run(1);
    }
    t.equal(held.length, 1, 'the entry is sent once');
    held.forEach(deployment.deliver);
    deployment.run(ONE_SECOND_STEPS);
    t.equal(
      follower.loop!.view.logStatus.commitIndex,
      leader.loop!.view.logStatus.commitIndex,
    );
    t.end();
  },
);
