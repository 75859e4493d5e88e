import {readWindowTokens} from '@gentianshunt/allotments';
import {SLICE_MS} from '@gentianshunt/limits';
import fc from 'fast-check';
import t from 'tap';

import {createEntriesFixture} from './entriesFixture.js';
import type {
  CoveredRequest,
  EntriesFixture,
  EntriesOptions,
} from './entriesFixture.js';

const SEED = 4;
const TOKENS = {tokensPerSecond: 1_000, burstTokens: 2_000, defaultTokens: 200};
const TOLERANCE = {windowMs: 4_000, overage: 0.1, slackTokens: 3_000};
/** What an operator concedes in a window. */
const CONCEDED = (4 * 1_000 + 2_000) * 1.1 + 3_000;
const SETTLED_MS = 10_000;
const STEP_MS = 30;
const LEASE_MS = 3_000;

function createFixture(options: Partial<EntriesOptions> = {}): EntriesFixture {
  const fixture = createEntriesFixture({
    count: 4,
    tokens: TOKENS,
    tolerance: TOLERANCE,
    delayMs: 5,
    ...options,
  });
  fixture.pass(SETTLED_MS);
  return fixture;
}

/** The most that was covered in any window. */
function findMost(covered: readonly CoveredRequest[]): number {
  const sums = covered.map(({at}) =>
    covered
      .filter(other => other.at >= at && other.at < at + TOLERANCE.windowMs)
      .reduce((sum, {tokens}) => sum + tokens, 0),
  );
  return Math.max(0, ...sums);
}

t.test('an entry may use nearly the whole allotment by itself', async t => {
  const fixture = createFixture();
  for (let count = 0; count < 40; count += 1) {
    fixture.send(1, 300);
    fixture.pass(25);
  }
  const most = findMost(fixture.covered);
  t.ok(most <= CONCEDED, 'no more than conceded');
  // The rest of the others' parts is set aside for a silent keeper.
  t.ok(most > 0.7 * CONCEDED, `${most} of ${CONCEDED}`);
  t.match(fixture.refusals[0], 'allotmentUsed notRun comeBack');
});

t.test('what lies within the allotment is not refused', async t => {
  const fixture = createFixture();
  const most = readWindowTokens(TOKENS, TOLERANCE);
  // The slices make a window that much longer.
  const perWindow =
    (0.95 * most * TOLERANCE.windowMs) / (TOLERANCE.windowMs + 2 * SLICE_MS);
  const intervalMs = 50;
  const tokens = Math.floor((perWindow * intervalMs) / TOLERANCE.windowMs);
  for (let count = 0; count < 400; count += 1) {
    fixture.send((count * 7) % 4, tokens);
    fixture.pass(intervalMs);
  }
  t.same(fixture.refusals, []);
  t.equal(fixture.covered.length, 400);
});

t.test('lower tiers leave room for higher ones', async t => {
  const fixture = createFixture();
  for (let count = 0; count < 60; count += 1) {
    fixture.send(count % 4, 300, 2);
    fixture.pass(10);
  }
  const lower = fixture.covered.length;
  fixture.send(0, 300, 0);
  fixture.pass(100);
  t.equal(fixture.covered.length, lower + 1);
});

t.test('few asks are needed while little is used', async t => {
  const fixture = createFixture();
  for (let count = 0; count < 100; count += 1) {
    fixture.send(count % 4, 1);
    fixture.pass(10);
  }
  t.equal(fixture.covered.length, 100);
  t.ok(fixture.asks <= 12, `${fixture.asks} asks`);
});

t.test('a request waits for room that is about to come', async t => {
  const fixture = createFixture();
  while (fixture.refusals.length === 0) {
    fixture.send(0, 500);
    fixture.pass(20);
  }
  const {length} = fixture.covered;
  fixture.pass(TOLERANCE.windowMs - 1_000);
  const refused = fixture.refusals.length;
  for (let waited = 0; waited < 1_500; waited += 50) {
    fixture.send(0, 500);
    fixture.pass(50);
  }
  t.ok(fixture.covered.length > length);
  t.ok(fixture.refusals.length - refused < 30);
});

t.test('while the keeper is silent, each entry has its part', async t => {
  const fixture = createFixture();
  fixture.cut(0, true);
  for (let count = 0; count < 200; count += 1) {
    fixture.send(1 + (count % 3), 100);
    fixture.pass(20);
  }
  const total = fixture.covered.reduce((sum, {tokens}) => sum + tokens, 0);
  t.ok(total > 0.15 * CONCEDED, `${total} tokens`);
  t.ok(findMost(fixture.covered) <= CONCEDED);
  t.match(fixture.refusals.at(-1), 'allotmentUsed notRun comeBack');
});

t.test('a keeper that restarts answers again', async t => {
  const fixture = createFixture();
  fixture.restart(0);
  fixture.pass(1_000);
  for (let count = 0; count < 30; count += 1) {
    fixture.send(1 + (count % 3), 100);
    fixture.pass(20);
  }
  // More than the unkept parts of three entries.
  const total = fixture.covered.reduce((sum, {tokens}) => sum + tokens, 0);
  t.equal(total, 3_000);
  t.same(fixture.refusals, []);
});

t.test('what an entry used before it restarted still counts', async t => {
  const fixture = createFixture();
  for (let count = 0; count < 120; count += 1) {
    if (count % 30 === 29) {
      fixture.restart(1 + (count % 3));
    }
    fixture.send(1 + (count % 3), 300);
    fixture.pass(25);
  }
  const most = findMost(fixture.covered);
  t.ok(most <= CONCEDED, `${most} tokens`);
  t.ok(most > 0.7 * CONCEDED, `${most} tokens`);
});

t.test('parts smaller than a request do not add up to more', async t => {
  const fixture = createFixture({count: 40});
  fixture.cut(0, true);
  for (let count = 0; count < 160; count += 1) {
    fixture.send(1 + (count % 39), 1_500);
    fixture.pass(25);
  }
  // Parts of 68 tokens; one request in each would be 58,500.
  const most = findMost(fixture.covered);
  t.ok(most <= CONCEDED, `${most} tokens`);
});

t.test('a request larger than the allotment is covered when idle', async t => {
  const fixture = createFixture();
  fixture.send(0, 50_000);
  fixture.pass(100);
  t.equal(fixture.covered.length, 1);
  fixture.send(0, 50_000);
  fixture.pass(100);
  t.equal(fixture.covered.length, 1);
});

t.test('an organisation without an allotment asks nobody', async t => {
  const fixture = createFixture({tokens: null});
  fixture.send(0, 50_000);
  fixture.pass(10);
  t.equal(fixture.covered.length, 1);
  t.equal(fixture.asks, 0);
});

const sending = {
  weight: 30,
  arbitrary: fc.record({
    kind: fc.constant('send' as const),
    entry: fc.nat(3),
    tokens: fc.integer({min: 1, max: 900}),
  }),
};

function createTrouble<Kind extends 'moveLeader' | 'cut' | 'restart'>(
  kind: Kind,
) {
  return {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant(kind), entry: fc.nat(3)}),
  };
}

/** What happens in a run, one step after the other. */
type Step =
  | {readonly kind: 'send'; readonly entry: number; readonly tokens: number}
  | {
      readonly kind: 'moveLeader' | 'cut' | 'restart';
      readonly entry: number;
    };

/** Runs the steps and tells the most that was covered in any window. */
function runSteps(steps: readonly Step[], delayMs: number): number {
  const fixture = createFixture({delayMs});
  let isolated: number | undefined;
  let movedAt = 0;
  steps.forEach((step, index) => {
    const at = index * STEP_MS;
    switch (step.kind) {
      case 'send':
        fixture.send(step.entry, step.tokens);
        break;
      case 'restart':
        fixture.restart(step.entry);
        break;
      case 'cut': {
        const before = isolated;
        isolated = before === undefined ? step.entry : undefined;
        fixture.cut(before ?? step.entry, isolated !== undefined);
        break;
      }
      case 'moveLeader':
        // A leader that hands over is in contact; one that is not keeps its
        // set until its lease has run out.
        if (isolated === undefined || at - movedAt >= LEASE_MS) {
          movedAt = at;
          fixture.moveLeader(step.entry);
        }
        break;
    }
    fixture.pass(STEP_MS);
  });
  return findMost(fixture.covered);
}

function findExcess(step: fc.Arbitrary<Step>): string | undefined {
  const property = fc.property(
    fc.array(step, {minLength: 100, maxLength: 300}),
    fc.integer({min: 0, max: 40}),
    (steps, delayMs) => {
      const most = runSteps(steps, delayMs);
      if (most > CONCEDED) {
        throw new Error(`${most} of ${CONCEDED} tokens`);
      }
    },
  );
  const result = fc.check(property, {
    seed: SEED,
    numRuns: 25,
    endOnFailure: true,
  });
  const {errorInstance} = result;
  return errorInstance instanceof Error ? errorInstance.message : undefined;
}

t.test('no window exceeds what is conceded, whatever happens', async t => {
  const step = fc.oneof(
    sending,
    createTrouble('moveLeader'),
    createTrouble('cut'),
  );
  t.equal(findExcess(step), undefined);
});

t.test('no window exceeds it when entries restart as well', async t => {
  const step = fc.oneof(
    sending,
    createTrouble('moveLeader'),
    createTrouble('cut'),
    createTrouble('restart'),
  );
  t.equal(findExcess(step), undefined);
});
