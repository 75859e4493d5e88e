import {findCause} from './failureCause.js';
import type {FailureCause} from './failureCause.js';
import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/** Requests of some logs that ended for the same cause. */
export interface FailureRow {
  readonly cause: FailureCause['kind'];
  readonly count: number;
  /** The first of them, as one to look at. */
  readonly example: string;
}

/** Counts the requests of some logs by the cause of their end. */
export function countFailures(
  lines: readonly LogLine[],
): readonly FailureRow[] {
  const rows = new Map<FailureCause['kind'], FailureRow>();
  for (const [request, own] of joinByRequest(lines)) {
    const {kind} = findCause(own);
    const row = rows.get(kind) ?? {cause: kind, count: 0, example: request};
    rows.set(kind, {...row, count: row.count + 1});
  }
  return [...rows.values()].sort((left, right) => right.count - left.count);
}

function joinByRequest(
  lines: readonly LogLine[],
): ReadonlyMap<string, readonly LogLine[]> {
  const groups = new Map<string, LogLine[]>();
  for (const line of lines) {
    const request = readText(line, 'request');
    if (request === undefined) {
      continue;
    }
    const group = groups.get(request) ?? [];
    group.push(line);
    groups.set(request, group);
  }
  return groups;
}
