import {findCause} from './failureCause.js';
import type {FailureCause} from './failureCause.js';
import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/** The number of requests that ended with the same cause. */
export interface FailureRow {
  readonly cause: FailureCause['kind'];
  readonly count: number;
  /** Identifier of the first such request, as an example. */
  readonly example: string;
}

/** Counts the requests in log lines by the cause of their end. */
export function countFailures(
  lines: readonly LogLine[],
): readonly FailureRow[] {
  const rows = new Map<FailureCause['kind'], FailureRow>();
  for (const [request, ownLines] of collectLinesByRequest(lines)) {
    const {kind} = findCause(ownLines);
    const row = rows.get(kind) ?? {cause: kind, count: 0, example: request};
    rows.set(kind, {...row, count: row.count + 1});
  }
  return [...rows.values()].sort((left, right) => right.count - left.count);
}

function collectLinesByRequest(
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
