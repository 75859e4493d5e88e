import t from 'tap';

import {
  EMPTY_TOTALS,
  RECENT_PERIOD_MS,
  RECENT_RETENTION_MS,
  toCalendarMonth,
} from '@gentianshunt/messages';
import type {CountReport, EntryToControl} from '@gentianshunt/messages';
import {
  MAX_SERVICE_COUNTS,
  OTHER_ORGANISATIONS,
} from '@gentianshunt/stateMachine';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {OrganisationId} from '@gentianshunt/identifiers';

import {createControlFixture} from './fixture.js';
import type {ControlFixture} from './fixture.js';

function createReport(
  sequence: number,
  answered: number,
  incarnation = 'i1',
  month = '2026-12',
): EntryToControl {
  const report: CountReport = {
    incarnation: toIdentifier(incarnation),
    sequence,
    counts: [
      {
        key: {
          month: toIdentifier(month),
          tier: toIdentifier('gold'),
          organisation: toIdentifier('north'),
          kind: toIdentifier('draft'),
        },
        totals: {...EMPTY_TOTALS, answered, answeredWeight: 2 * answered},
      },
    ],
  };
  return {kind: 'countReportRequest', report};
}

function readCounts(fixture: ControlFixture) {
  const [reply] = fixture.ask('e0', {
    kind: 'controlQueryRequest',
    correlation: toIdentifier('q'),
    query: {kind: 'counts', month: null},
  });
  return reply?.kind === 'controlQueryReply' && reply.result.kind === 'counts'
    ? reply.result.counts.map(({key, totals}) => [key.month, totals.answered])
    : undefined;
}

t.test('a count report is added to the totals once', async t => {
  const cases = [
    {name: 'one report', reports: [createReport(1, 3)], answered: 3},
    {
      name: 'resent report',
      reports: [createReport(1, 3), createReport(1, 3)],
      answered: 3,
    },
    {
      name: 'resent after a later report',
      reports: [createReport(1, 3), createReport(2, 4), createReport(1, 3)],
      answered: 7,
    },
    {
      name: 'another incarnation',
      reports: [
        createReport(1, 3),
        createReport(1, 4, 'i2'),
        createReport(1, 3),
      ],
      answered: 7,
    },
  ];
  for (const {name, reports, answered} of cases) {
    const fixture = createControlFixture();
    for (const report of reports) {
      const [reply] = fixture.ask('e0', report);
      t.equal(reply?.kind, 'countReportReply', name);
    }
    t.strictSame(readCounts(fixture), [['2026-12', answered]], name);
    const restarted = createControlFixture(fixture.readStored());
    t.strictSame(readCounts(restarted), [['2026-12', answered]], name);
  }
});

t.test('counts are kept by calendar month, old months dropped', async t => {
  const fixture = createControlFixture();
  const now = toCalendarMonth(fixture.clock.readWallTime());
  fixture.ask('e0', createReport(1, 1, 'i1', '0001-01'));
  fixture.ask('e0', createReport(2, 2, 'i1', now));
  t.strictSame(readCounts(fixture), [[now, 2]]);
});

t.test('counts of keys above the limit are added up under one key', async t => {
  const fixture = createControlFixture();
  const report = createReport(1, 1);
  if (report.kind !== 'countReportRequest') {
    throw new Error('expected a count report');
  }
  const [count] = report.report.counts;
  const counts = Array.from({length: MAX_SERVICE_COUNTS + 3}, (_, index) => ({
    ...count!,
    key: {
      ...count!.key,
      organisation: toIdentifier<OrganisationId>(`o${index}`),
    },
  }));
  fixture.receive('e0', {...report, report: {...report.report, counts}});
  const {serviceCounts} = fixture.node.view;
  t.equal(serviceCounts.size, MAX_SERVICE_COUNTS + 1);
  const key = {...count!.key, organisation: OTHER_ORGANISATIONS};
  t.equal(serviceCounts.get(key)?.answered, 3);
});

function readRecent(fixture: ControlFixture) {
  return [...fixture.node.view.recentCounts.iterateFrom()].map(
    ({value}) => value.answered,
  );
}

t.test('recent counts are added to their period once and expire', async t => {
  const fixture = createControlFixture();
  fixture.ask('e0', createReport(1, 3));
  fixture.ask('e0', createReport(1, 3));
  t.same(readRecent(fixture), [3]);
  fixture.advance(RECENT_PERIOD_MS);
  fixture.ask('e0', createReport(2, 4));
  t.same(readRecent(fixture), [3, 4]);
  fixture.advance(RECENT_RETENTION_MS);
  fixture.ask('e0', createReport(3, 5));
  t.same(readRecent(fixture), [4, 5]);
});
