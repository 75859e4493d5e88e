import {toIdentifier} from '@gentianshunt/identifiers';
import type {
  EndpointId,
  IncarnationId,
  NodeId,
} from '@gentianshunt/identifiers';
import t from 'tap';

import {createLeaveFixture, OTHER, SELF} from './leaveFixture.js';
import type {LeaveFixture} from './leaveFixture.js';

const MAX_REPORTED = 2_048;
const LEAVES = MAX_REPORTED + 100;

function createTold(): LeaveFixture {
  const fixture = createLeaveFixture();
  fixture.list(SELF, OTHER);
  for (let count = 0; count < LEAVES; count += 1) {
    fixture.loop.post({
      kind: 'entryMessage',
      from: toIdentifier<NodeId>(OTHER),
      message: {
        kind: 'endpointLeft',
        endpoint: toIdentifier<EndpointId>(`e${count}`),
        left: {kind: 'numbered', startedAtMs: 1},
        isConfirmationRequested: false,
      },
    });
  }
  return fixture;
}

/** Asks for unread leaves as a process that has read up to a version. */
function countReported(
  {loop, effects}: LeaveFixture,
  version: number | null,
): number {
  const process = toIdentifier<IncarnationId>('i1');
  effects.length = 0;
  loop.post({
    kind: 'entryMessage',
    from: toIdentifier<NodeId>(OTHER),
    message: {
      kind: 'withdrawalsRequested',
      request: 1,
      after: version === null ? null : {process, version},
      digest: 0,
      own: {process: toIdentifier('i2-restarted'), version: 0},
    },
  });
  return effects
    .flatMap(effect => (effect.kind === 'sendEntry' ? [effect.message] : []))
    .flatMap(message =>
      message.kind === 'withdrawalsReported' ? message.withdrawals : [],
    ).length;
}

// Guards against a restarted entry that misses the rest of its own leaves.
t.test('a restarted entry reads all leaves that it had told', async t => {
  const fixture = createTold();
  t.equal(countReported(fixture, null), MAX_REPORTED);
  t.equal(countReported(fixture, MAX_REPORTED), LEAVES - MAX_REPORTED);
});
