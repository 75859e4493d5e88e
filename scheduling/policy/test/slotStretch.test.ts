import t from 'tap';

import {computeSlotStretch, MAX_SLOT_STRETCH} from '../src/index.js';
import type {SlotUse} from '../src/index.js';

function createUse(changes: Partial<SlotUse> = {}): SlotUse {
  return {stretch: 4, elapsedMs: 40, occupied: 30, running: 10, ...changes};
}

t.test('as many slots are granted as occupied ones run', async t => {
  t.equal(computeSlotStretch(createUse()), 3);
});

t.test('they rise slowly, and fall at once', async t => {
  const risen = computeSlotStretch(createUse({occupied: 300}));
  t.ok(risen > 4 && risen < 4.5, `${risen}`);
  t.equal(computeSlotStretch(createUse({running: 30})), 1);
});

t.test('never fewer than what endpoints process', async t => {
  t.equal(computeSlotStretch(createUse({occupied: 5})), 1);
  t.equal(computeSlotStretch(createUse({running: 0})), 1);
});

t.test('they are bounded', async t => {
  const use = createUse({stretch: MAX_SLOT_STRETCH, occupied: 9_000});
  t.equal(computeSlotStretch(use), MAX_SLOT_STRETCH);
});
