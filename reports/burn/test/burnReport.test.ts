import type {RequestKind, Tier} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';
import {EMPTY_TOTALS, toCalendarMonth} from '@gentianshunt/messages';
import type {
  RecentCount,
  ServiceCount,
  ServiceTotals,
} from '@gentianshunt/messages';
import t from 'tap';

import {
  createBurnReport,
  formatBurnHtml,
  formatBurnText,
  formatWindow,
} from '../src/index.js';
import type {BurnReportOptions, BurnRow} from '../src/index.js';

const NOW = new Date('2026-12-04T12:02:00Z');
const MINUTE_MS = 60_000;

function createTier(objective: number): Tier {
  return {
    kind: 'tier',
    id: toIdentifier('gold'),
    revision: 1,
    rank: 1,
    weight: 1,
    firstTokenTargetMs: 1_000,
    objective,
  };
}

function createKind(id: string, weight: number): RequestKind {
  return {
    kind: 'requestKind',
    id: toIdentifier(id),
    revision: 1,
    idempotent: true,
    weight,
  };
}

function createTotals(changes: Partial<ServiceTotals>): ServiceTotals {
  return {...EMPTY_TOTALS, ...changes};
}

function createMonthCount(
  kind: string,
  organisation: string,
  totals: Partial<ServiceTotals>,
): ServiceCount {
  return {
    key: {
      month: toCalendarMonth(NOW),
      tier: toIdentifier('gold'),
      organisation: toIdentifier(organisation),
      kind: toIdentifier(kind),
    },
    totals: createTotals(totals),
  };
}

function createRecentCount(
  agoMs: number,
  totals: Partial<ServiceTotals>,
): RecentCount {
  return {
    key: {
      startMs: NOW.getTime() - agoMs,
      tier: toIdentifier('gold'),
      organisation: toIdentifier('a'),
      kind: toIdentifier('draft'),
    },
    totals: createTotals(totals),
  };
}

function createOptions(changes: Partial<BurnReportOptions>): BurnReportOptions {
  return {
    now: NOW,
    tiers: [createTier(0.9)],
    kinds: [createKind('draft', 3), createKind('status', 1)],
    months: [],
    recent: [],
    ...changes,
  };
}

function findRow(
  rows: readonly BurnRow[],
  window: string,
  organisation: string | null,
): BurnRow | undefined {
  return rows.find(
    row =>
      formatWindow(row.window) === window && row.organisation === organisation,
  );
}

t.test('requests are weighted by their kind', async t => {
  const {rows} = createBurnReport(
    createOptions({
      months: [
        createMonthCount('draft', 'a', {answered: 8, onTime: 8, shed: 2}),
        createMonthCount('status', 'b', {answered: 6, onTime: 5}),
      ],
    }),
  );
  const all = findRow(rows, '2026-12', null);
  t.match(all, {good: 29, bad: 7});
  t.match(findRow(rows, '2026-12', 'a'), {good: 24, bad: 6, badShare: 0.2});
  t.equal(findRow(rows, '2026-12', 'a')?.burn?.toFixed(6), '2.000000');
});

t.test('a window includes the periods that overlap it', async t => {
  const {rows} = createBurnReport(
    createOptions({
      recent: [
        createRecentCount(2 * MINUTE_MS, {answered: 1, onTime: 1}),
        createRecentCount(30 * MINUTE_MS, {failed: 1}),
        createRecentCount(300 * MINUTE_MS, {shed: 1}),
      ],
    }),
  );
  t.match(findRow(rows, '5 min', null), {good: 3, bad: 0});
  t.match(findRow(rows, '1 h', null), {good: 3, bad: 3});
  t.match(findRow(rows, '6 h', null), {good: 3, bad: 6});
});

t.test('a tier without requests has no burn', async t => {
  const {rows} = createBurnReport(createOptions({}));
  t.ok(rows.every(row => row.burn === null && row.badShare === null));
  t.match(formatBurnText({at: NOW, rows}), /gold/);
});

t.test('names are escaped in the HTML page', async t => {
  const report = createBurnReport(
    createOptions({
      months: [createMonthCount('draft', '<b>', {answered: 1, onTime: 1})],
    }),
  );
  const page = formatBurnHtml(report);
  t.match(page, '&lt;b&gt;');
  t.notMatch(page, '<b>');
});
