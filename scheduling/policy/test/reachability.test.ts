import t from 'tap';

import {hasReturned, isCheckDue, SILENCE_MS} from '../src/index.js';
import type {ReachSigns} from '../src/index.js';

const NOW = 100_000;

function createSigns(changes: Partial<ReachSigns> = {}): ReachSigns {
  return {
    now: NOW,
    checkedAt: Number.NEGATIVE_INFINITY,
    heardAt: NOW,
    oldestSentAt: null,
    failedAt: [],
    ...changes,
  };
}

t.test(
  'an entry checks its connections when several endpoints fail',
  async t => {
    t.notOk(isCheckDue(createSigns({failedAt: [NOW]})), 'one may be gone');
    t.ok(isCheckDue(createSigns({failedAt: [NOW - 1_000, NOW]})));
    t.notOk(isCheckDue(createSigns({failedAt: [NOW - 5_000, NOW]})));
    t.notOk(
      isCheckDue(createSigns({failedAt: [NOW, NOW], checkedAt: NOW - 500})),
      'it has just looked',
    );
  },
);

t.test('one silent endpoint among others raises no doubt', async t => {
  const oldestSentAt = NOW - 5 * SILENCE_MS;
  t.notOk(isCheckDue(createSigns({oldestSentAt, heardAt: NOW - 100})));
  t.ok(isCheckDue(createSigns({oldestSentAt, heardAt: NOW - SILENCE_MS})));
  t.notOk(
    isCheckDue(createSigns({heardAt: NOW - 60_000})),
    'nothing was asked',
  );
  t.notOk(
    isCheckDue(createSigns({oldestSentAt: NOW - 10, heardAt: NOW - 60_000})),
  );
});

t.test('an entry returns once it has reached several endpoints', async t => {
  t.notOk(hasReturned(1, 9));
  t.ok(hasReturned(2, 9));
  t.ok(hasReturned(1, 1), 'or the only one');
});
