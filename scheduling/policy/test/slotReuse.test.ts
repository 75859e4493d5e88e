import t from 'tap';

import {computeQueueAhead, decideReuse, MAX_REUSE_MS} from '../src/index.js';
import type {ReuseDecision, ReuseInput} from '../src/index.js';

function createInput(changes: Partial<ReuseInput> = {}): ReuseInput {
  return {
    heldMs: 500,
    expectedMs: 300,
    turnaroundMs: 50,
    spread: 0,
    ownRank: 2,
    waitingRank: 2,
    demandAgeMs: 100,
    isFailing: false,
    ...changes,
  };
}

const REUSE: ReuseDecision = {kind: 'reuse', isLast: false};
const ROWS: readonly {
  readonly name: string;
  readonly changes: Partial<ReuseInput>;
  readonly decision: ReuseDecision;
}[] = [
  {name: 'its own tier waits', changes: {}, decision: REUSE},
  {name: 'a lower tier waits', changes: {waitingRank: 3}, decision: REUSE},
  {
    name: 'a higher tier waits',
    changes: {waitingRank: 1},
    decision: {kind: 'return', cause: 'higherTierWaits'},
  },
  {
    name: 'nothing waits',
    changes: {waitingRank: null},
    decision: {kind: 'return', cause: 'nothingWaits'},
  },
  {
    name: 'the demand of others is not known',
    changes: {demandAgeMs: 1_000},
    decision: {kind: 'return', cause: 'demandUnknown'},
  },
  {
    name: 'the endpoint fails',
    changes: {isFailing: true},
    decision: {kind: 'return', cause: 'endpointFailing'},
  },
  {
    name: 'it was held for long',
    changes: {heldMs: MAX_REUSE_MS},
    decision: {kind: 'return', cause: 'heldLong'},
  },
  {
    name: 'it was held for long, for a slot with less time',
    changes: {heldMs: MAX_REUSE_MS / 2, spread: 1},
    decision: {kind: 'return', cause: 'heldLong'},
  },
  {
    name: 'this is the last use and grants are slow',
    changes: {heldMs: MAX_REUSE_MS - 200, turnaroundMs: 400},
    decision: {kind: 'reuse', isLast: true},
  },
  {
    name: 'this is the last use and grants are quick',
    changes: {heldMs: MAX_REUSE_MS - 200},
    decision: REUSE,
  },
];

// Guards against capacity that an entry keeps from others, and against an
// endpoint with nothing to do while its capacity is granted anew.
for (const {name, changes, decision} of ROWS) {
  t.test(`free capacity when ${name}`, async t => {
    t.same(decideReuse(createInput(changes)), decision);
  });
}

t.test(
  'queues of endpoints hold what a turnaround would leave empty',
  async t => {
    t.equal(computeQueueAhead(8, 0), 0);
    t.equal(computeQueueAhead(8, 50), 1);
    t.equal(computeQueueAhead(8, 1_500), 2);
    t.equal(computeQueueAhead(8, 60_000), 4, 'at most half of the concurrency');
  },
);
