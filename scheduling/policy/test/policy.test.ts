import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createPatienceRecord,
  decideShedding,
  estimateSurvival,
  isRateAccepted,
  isReady,
  limitConcurrency,
  limitCredit,
  recordWait,
} from '../src/index.js';
import type {
  DispatchCandidate,
  PatienceRecord,
  SheddingInput,
  WaitingCount,
} from '../src/index.js';

const OBSERVED_WAITS = 200;

function createRecord(waitedMs: number, left: boolean): PatienceRecord {
  let record = createPatienceRecord();
  for (let count = 0; count < OBSERVED_WAITS; count += 1) {
    record = recordWait(record, {waitedMs, left});
  }
  return record;
}

function createCandidate(
  changes: Partial<DispatchCandidate> = {},
): DispatchCandidate {
  return {
    rank: 2,
    value: 1,
    survival: 0.2,
    costMs: 100,
    waitedMs: 0,
    ...changes,
  };
}

function createWaiting(changes: Partial<WaitingCount> = {}): WaitingCount {
  return {
    node: 'entry1' as NodeId,
    rank: 1,
    organisation: 'lab' as OrganisationId,
    count: 10,
    ...changes,
  };
}

function createShedding(changes: Partial<SheddingInput> = {}): SheddingInput {
  return {
    waiting: [createWaiting(), createWaiting({rank: 3, count: 50})],
    slots: 10,
    shedding: false,
    lowestRank: 3,
    ...changes,
  };
}

t.test(
  'a caller past the usual moment of leaving is likely to stay',
  async t => {
    const own = createRecord(1_500, true);
    const remainingMs = 1_500;
    const early = estimateSurvival({
      own,
      general: undefined,
      waitedMs: 0,
      remainingMs,
    });
    const late = estimateSurvival({
      own,
      general: undefined,
      waitedMs: 5_000,
      remainingMs,
    });
    t.ok(early < late);
    t.ok(early >= 0 && late <= 1);
  },
);

t.test('a class without observations uses the record of its kind', async t => {
  const general = createRecord(1_500, true);
  const input = {waitedMs: 0, remainingMs: 1_500};
  const unknown = estimateSurvival({
    ...input,
    own: undefined,
    general: undefined,
  });
  t.ok(estimateSurvival({...input, own: undefined, general}) < unknown);
});

t.test(
  'a request is deferred for a bounded time, never in the top tier',
  async t => {
    t.equal(isReady(createCandidate()), false);
    t.equal(isReady(createCandidate({rank: 1})), true);
    t.equal(isReady(createCandidate({waitedMs: 60_000})), true);
    t.equal(isReady(createCandidate({survival: 0.9})), true);
  },
);

t.test(
  'only the lowest tier is shed, until the lower threshold is reached',
  async t => {
    const first = decideShedding(createShedding());
    t.equal(first.shedding, true);
    t.same(
      first.shed.map(({rank, count}) => ({rank, count})),
      [{rank: 3, count: 40}],
    );
    const waiting = [createWaiting({rank: 3, count: 30})];
    t.equal(decideShedding(createShedding({waiting})).shedding, false);
    t.equal(
      decideShedding(createShedding({waiting, shedding: true})).shedding,
      true,
    );
  },
);

t.test(
  'a higher tier is not shed when the lowest has nothing waiting',
  async t => {
    const waiting = [createWaiting({rank: 2, count: 500})];
    t.same(decideShedding(createShedding({waiting})).shed, []);
  },
);

t.test('a slowed endpoint keeps a concurrency of one for probing', async t => {
  t.equal(limitConcurrency(16, 150, 30), 1);
  t.equal(limitConcurrency(16, 40, 30), 16);
});

t.test('the top tier waits a while for a fast endpoint', async t => {
  const slow = {
    rank: 1,
    waitedMs: 0,
    objectiveMs: null,
    rate: 60,
    medianRate: 30,
    fastestRate: 20,
  };
  t.equal(isRateAccepted(slow), false);
  t.equal(isRateAccepted({...slow, waitedMs: 2_000}), true);
  t.equal(isRateAccepted({...slow, rank: 2}), true);
  const call = {...slow, objectiveMs: 500};
  t.equal(isRateAccepted(call), false);
  t.equal(
    isRateAccepted({...call, waitedMs: 60}),
    true,
    'its objective is near',
  );
  t.equal(isRateAccepted({...slow, rate: 20, medianRate: 20}), true);
});

t.test('an idle organisation does not accumulate credit', async t => {
  t.ok(limitCredit(0, 1_000_000) > 900_000);
  t.equal(limitCredit(999_999, 1_000_000), 999_999);
});
