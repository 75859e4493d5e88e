import type {CommandSummary, ServiceCount} from '@gentianshunt/messages';

import {defineNumber, defineTable, defineText} from './table.js';

/** Commands that are asked for at one time. */
export const COMMAND_QUERY_LIMIT = 1_000;

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
    defineNumber('answered', ({totals}) => totals.answered),
    defineNumber('on-time', ({totals}) => totals.onTime),
    defineNumber('answered-weight', ({totals}) => totals.answeredWeight),
    defineNumber('shed', ({totals}) => totals.shed),
    defineNumber('failed', ({totals}) => totals.failed),
    defineNumber('abandoned', ({totals}) => totals.abandoned),
  ],
  list: ({control}) => (control?.kind === 'counts' ? control.counts : []),
});
