import Table from 'cli-table3';

import type {Explanation, TimelineLine} from './createExplanation.js';
import {describeCause} from './failureCause.js';
import type {FailureRow} from './countFailures.js';

const PLAIN_STYLE = {head: [], border: []};

/** Formats the cause and the timeline of a request for a terminal. */
export function formatExplanation(explanation: Explanation): string {
  const {request, cause, timeline} = explanation;
  return [
    `request ${request}: ${describeCause(cause)}`,
    ...timeline.map(formatTimelineLine),
  ].join('\n');
}

/** Formats a line with its distance from the time in question. */
export function formatTimelineLine({
  offsetMs,
  relation,
  line,
}: TimelineLine): string {
  const sign = offsetMs < 0 ? '-' : '+';
  const offset = `${sign}${Math.abs(offsetMs)} ms`.padStart(10);
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== 'level' && name !== 'request')
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${offset} [${relation}] ${line.daemon} ${line.event} ${fields.join(' ')}`.trimEnd();
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Formats the counts of causes as a table for a terminal. */
export function formatFailures(rows: readonly FailureRow[]): string {
  const table = new Table({
    head: ['cause', 'requests', 'for example'],
    style: PLAIN_STYLE,
  });
  for (const {cause, count, example} of rows) {
    table.push([cause, String(count), example]);
  }
  return table.toString();
}
