import type {
  CommandSummary,
  RecentCount,
  ServiceCount,
  ServiceTotals,
} from '@gentianshunt/messages';

import {defineNumber, defineTable, defineText} from './table.js';

/** Maximum number of commands in one query to the control daemons. */
export const COMMAND_QUERY_LIMIT = 1_000;

/** An item with service totals. */
interface TotalsRow {
  readonly totals: ServiceTotals;
}

/** The command numbers that the control daemons remember, latest first. */
export const COMMANDS_TABLE = defineTable<CommandSummary>({
  name: 'commands',
  help: 'Latest command numbers with their operators.',
  scope: 'deployment',
  controlQuery: {kind: 'commands', limit: COMMAND_QUERY_LIMIT},
  columns: [
    defineNumber('number', command => command.number),
    defineText('operator', command => command.operator),
    defineText('result', command => command.result),
    defineNumber('version', command => command.version),
    defineText('digest', command => command.digest),
  ],
  list: ({controlResult}) =>
    controlResult?.kind === 'commands' ? controlResult.commands : [],
});

const TOTALS_COLUMNS = [
  defineNumber('answered', ({totals}: TotalsRow) => totals.answered),
  defineNumber('on-time', ({totals}: TotalsRow) => totals.onTime),
  defineNumber(
    'answered-weight',
    ({totals}: TotalsRow) => totals.answeredWeight,
  ),
  defineNumber('shed', ({totals}: TotalsRow) => totals.shed),
  defineNumber('failed', ({totals}: TotalsRow) => totals.failed),
  defineNumber('abandoned', ({totals}: TotalsRow) => totals.abandoned),
];

/** The service counts by calendar month. */
export const COUNTS_TABLE = defineTable<ServiceCount>({
  name: 'counts',
  help: 'Service counts by calendar month, tier, organisation and kind.',
  scope: 'deployment',
  controlQuery: {kind: 'counts', month: null},
  columns: [
    defineText('month', ({key}) => key.month),
    defineText('tier', ({key}) => key.tier),
    defineText('organisation', ({key}) => key.organisation),
    defineText('kind', ({key}) => key.kind),
    ...TOTALS_COLUMNS,
  ],
  list: ({controlResult}) =>
    controlResult?.kind === 'counts' ? controlResult.counts : [],
});

/** The service counts of the last 6 hours. */
export const RECENT_TABLE = defineTable<RecentCount>({
  name: 'recent',
  help: 'Service counts of the last 6 hours in periods of 5 minutes.',
  scope: 'deployment',
  controlQuery: {kind: 'recentCounts'},
  columns: [
    defineNumber('start-ms', ({key}) => key.startMs),
    defineText('tier', ({key}) => key.tier),
    defineText('organisation', ({key}) => key.organisation),
    defineText('kind', ({key}) => key.kind),
    ...TOTALS_COLUMNS,
  ],
  list: ({controlResult}) =>
    controlResult?.kind === 'recentCounts' ? controlResult.counts : [],
});
