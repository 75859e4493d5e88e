import type {
  CommandSummary,
  RecentCount,
  ServiceCount,
  ServiceTotals,
} from '@gentianshunt/messages';

import {defineNumber, defineTable, defineText} from './table.js';

/** Commands that are asked for at one time. */
export const COMMAND_QUERY_LIMIT = 1_000;

/** A row that carries totals. */
interface Counted {
  readonly totals: ServiceTotals;
}

/** The remembered command numbers, the latest first. */
export const COMMANDS_TABLE = defineTable<CommandSummary>({
  name: 'commands',
  help: 'Latest command numbers with their operators.',
  scope: 'deployment',
  control: {kind: 'commands', limit: COMMAND_QUERY_LIMIT},
  columns: [
    defineNumber('number', command => command.number),
    defineText('operator', command => command.operator),
    defineText('result', command => command.result),
    defineNumber('version', command => command.version),
    defineText('digest', command => command.digest),
  ],
  list: ({control}) => (control?.kind === 'commands' ? control.commands : []),
});

const TOTALS_COLUMNS = [
  defineNumber('answered', ({totals}: Counted) => totals.answered),
  defineNumber('on-time', ({totals}: Counted) => totals.onTime),
  defineNumber('answered-weight', ({totals}: Counted) => totals.answeredWeight),
  defineNumber('shed', ({totals}: Counted) => totals.shed),
  defineNumber('failed', ({totals}: Counted) => totals.failed),
  defineNumber('abandoned', ({totals}: Counted) => totals.abandoned),
];

/** The monthly service counts. */
export const COUNTS_TABLE = defineTable<ServiceCount>({
  name: 'counts',
  help: 'Service counts by calendar month, tier, organisation and kind.',
  scope: 'deployment',
  control: {kind: 'counts', month: null},
  columns: [
    defineText('month', ({key}) => key.month),
    defineText('tier', ({key}) => key.tier),
    defineText('organisation', ({key}) => key.organisation),
    defineText('kind', ({key}) => key.kind),
    ...TOTALS_COLUMNS,
  ],
  list: ({control}) => (control?.kind === 'counts' ? control.counts : []),
});

/** The counts of the last hours. */
export const RECENT_TABLE = defineTable<RecentCount>({
  name: 'recent',
  help: 'Service counts of the last 6 hours in periods of 5 minutes.',
  scope: 'deployment',
  control: {kind: 'recentCounts'},
  columns: [
    defineNumber('start-ms', ({key}) => key.startMs),
    defineText('tier', ({key}) => key.tier),
    defineText('organisation', ({key}) => key.organisation),
    defineText('kind', ({key}) => key.kind),
    ...TOTALS_COLUMNS,
  ],
  list: ({control}) => (control?.kind === 'recentCounts' ? control.counts : []),
});
