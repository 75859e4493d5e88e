import t from 'tap';

import {
  createReleaseExplanation,
  formatReleaseExplanation,
} from '../src/index.js';
import type {LogLine} from '../src/index.js';
import {createLines} from './linesFixture.js';
import type {LineFixture} from './linesFixture.js';

function createAdoption(
  atMs: number,
  daemon: string,
  release: number,
): LineFixture {
  return {atMs, daemon, event: 'configurationApplied', release};
}

/** Release 42 reaches `a` at once, `b` as 43, and `c` never. */
function createRun(): readonly LogLine[] {
  return createLines([
    createAdoption(-900, 'a', 41),
    createAdoption(-890, 'b', 41),
    createAdoption(-880, 'c', 41),
    {atMs: -500, daemon: 'a', event: 'leaseLost', release: 41},
    {atMs: -400, daemon: 'a', event: 'leaseRegained', release: 41},
    {atMs: 0, daemon: 'a', event: 'changeReceived', release: 42},
    {atMs: 3, daemon: 'c', event: 'releaseProposed', release: 42},
    {atMs: 9, daemon: 'c', event: 'releaseApplied', release: 42},
    createAdoption(11, 'a', 42),
    {
      atMs: 14,
      daemon: 'a',
      event: 'changeEnded',
      release: 42,
      outcome: 'acknowledged',
      detail: null,
    },
    {atMs: 20, daemon: 'c', event: 'releaseProposed', release: 43},
    {atMs: 1_100, daemon: 'b', event: 'leaseLost', release: 41},
    {atMs: 1_500, daemon: 'b', event: 'leaseRegained', release: 43},
    createAdoption(1_500, 'b', 43),
    {
      atMs: 1_510,
      daemon: 'c',
      event: 'releaseInForce',
      release: 42,
      sinceAppliedMs: 1_501,
    },
    {atMs: 1_600, daemon: 'c', event: 'leaseLost', release: 41},
  ]);
}

t.test('a release is explained by its stages and its entries', async t => {
  const explanation = createReleaseExplanation(createRun(), 42)!;
  t.same(
    explanation.stages.map(({offsetMs, line}) => [offsetMs, line.event]),
    [
      [0, 'changeReceived'],
      [3, 'releaseProposed'],
      [9, 'releaseApplied'],
      [14, 'changeEnded'],
      [1_510, 'releaseInForce'],
    ],
  );
  t.same(explanation.entries, [
    {entry: 'a', before: 41, adopted: {offsetMs: 11, release: 42}, lapses: []},
    {
      entry: 'b',
      before: 41,
      adopted: {offsetMs: 1_500, release: 43},
      lapses: [{fromMs: 1_100, untilMs: 1_500}],
    },
    {
      entry: 'c',
      before: 41,
      adopted: null,
      lapses: [{fromMs: 1_600, untilMs: null}],
    },
  ]);
});

t.test('the explanation of a release is formatted as lines', async t => {
  const explanation = createReleaseExplanation(createRun(), 42)!;
  t.equal(
    formatReleaseExplanation(explanation),
    [
      'release 42, times from 2026-12-04T10:00:00.000Z',
      '+0 ms a changeReceived',
      '+3 ms c releaseProposed',
      '+9 ms c releaseApplied',
      '+14 ms a changeEnded outcome=acknowledged',
      '+1510 ms c releaseInForce sinceAppliedMs=1501',
      'a obeys 42 from +11 ms, obeyed 41 before',
      'b obeys 43 from +1500 ms, obeyed 41 before, no lease from +1100 ms to +1500 ms',
      'c does not obey it in these logs, obeyed 41 before, no lease from +1600 ms to the end',
    ].join('\n'),
  );
});

t.test('a release that no line mentions has no explanation', async t => {
  t.equal(createReleaseExplanation(createRun(), 44), undefined);
});
