import {
  ENDPOINTS_TABLE,
  ENTRIES_TABLE,
  KINDS_TABLE,
  ORDERS_TABLE,
  ORGANISATIONS_TABLE,
  SETS_TABLE,
  TIERS_TABLE,
} from './configurationTables.js';
import {COMMANDS_TABLE, COUNTS_TABLE, RECENT_TABLE} from './controlTables.js';
import {MEMBERS_TABLE} from './memberTable.js';
import {QUARANTINES_TABLE} from './quarantineTable.js';
import {OBEYED_TABLE, RELEASES_TABLE} from './releaseTables.js';
import {
  REFUSED_TABLE,
  REQUESTS_TABLE,
  RUNNING_TABLE,
  WAITING_TABLE,
} from './requestTables.js';
import type {Table} from './table.js';

/** All tables, in the order in which the help lists them. */
export const TABLES: readonly Table[] = [
  WAITING_TABLE,
  RUNNING_TABLE,
  REFUSED_TABLE,
  REQUESTS_TABLE,
  ENDPOINTS_TABLE,
  QUARANTINES_TABLE,
  ENTRIES_TABLE,
  ORGANISATIONS_TABLE,
  TIERS_TABLE,
  SETS_TABLE,
  KINDS_TABLE,
  ORDERS_TABLE,
  RELEASES_TABLE,
  OBEYED_TABLE,
  MEMBERS_TABLE,
  COMMANDS_TABLE,
  COUNTS_TABLE,
  RECENT_TABLE,
];

export function findTable(name: string): Table | undefined {
  return TABLES.find(table => table.name === name);
}

/** Formats the list of tables for the help. */
export function formatTables(): string {
  return [
    'Tables:',
    ...TABLES.map(({name, help}) => `  ${name}: ${help}`),
  ].join('\n');
}

/** Formats the help on a table, if the name is one. */
export function formatTableHelp(name: string): string | undefined {
  const table = findTable(name);
  return table === undefined
    ? undefined
    : [
        `${table.name}: ${table.help}`,
        ...table.columns.map(column => `  ${column.name}: ${column.form}`),
      ].join('\n');
}
