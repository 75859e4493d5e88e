import Table from 'cli-table3';

import type {BurnReport, BurnRow} from './burnReport.js';
import {formatWindow} from './burnWindow.js';

const HEADER = [
  'window',
  'tier',
  'organisation',
  'good',
  'bad',
  'bad share',
  'burn',
];
const PERCENTAGE_DIGITS = 2;
const BURN_DIGITS = 2;

/** Formats a report as a table for a terminal. */
export function formatBurnText(report: BurnReport): string {
  const table = new Table({head: HEADER, style: {head: [], border: []}});
  for (const row of report.rows) {
    table.push([...listCells(row)]);
  }
  return table.toString();
}

/** Lists the cells of a row in the order of the header. */
export function listCells(row: BurnRow): readonly string[] {
  return [
    formatWindow(row.window),
    row.tier,
    row.organisation ?? 'all',
    String(row.good),
    String(row.bad),
    row.badShare === null
      ? '-'
      : `${(100 * row.badShare).toFixed(PERCENTAGE_DIGITS)} %`,
    row.burn === null ? '-' : row.burn.toFixed(BURN_DIGITS),
  ];
}
