/** Finds in an entry's log lines when it had no lease. */
import {readNumber} from './logLine.js';
import type {LogLine} from './logLine.js';

/** A time without a lease, by the wall clock of the entry. */
export interface LoggedLapse {
  readonly from: Date;
  /** `null` if the logs do not show its end. */
  readonly until: Date | null;
  /** The lines that say why it had none, oldest first. */
  readonly evidence: readonly LogLine[];
}

/** Lists the lapses of an entry's lease, the one before the first included. */
export function listLeaseLapses(
  lines: readonly LogLine[],
): readonly LoggedLapse[] {
  return lines.reduce(addLine, []);
}

function addLine(
  lapses: readonly LoggedLapse[],
  line: LogLine,
): readonly LoggedLapse[] {
  const last = lapses[lapses.length - 1];
  const open = last?.until === null ? last : undefined;
  const earlier = open === undefined ? lapses : lapses.slice(0, -1);
  switch (line.event) {
    case 'leaseLost':
      return [...earlier, addEvidence(open, line, 'expiredMs')];
    case 'leaseMissing':
      return [...earlier, addEvidence(open, line, 'missingMs')];
    case 'leaseRegained': {
      const from = open?.from ?? findFirstLapse(line);
      return from === undefined
        ? lapses
        : [...earlier, {from, until: line.at, evidence: open?.evidence ?? []}];
    }
    default:
      return lapses;
  }
}

function addEvidence(
  open: LoggedLapse | undefined,
  line: LogLine,
  ageField: string,
): LoggedLapse {
  return {
    from: open?.from ?? computeStart(line.at, readNumber(line, ageField) ?? 0),
    until: null,
    evidence: [...(open?.evidence ?? []), line],
  };
}

/** Finds the start of an entry that had no lease before. */
function findFirstLapse(line: LogLine): Date | undefined {
  const sinceStartMs = readNumber(line, 'sinceStartMs');
  const isFirst = readNumber(line, 'lapsedMs') === undefined;
  return isFirst && sinceStartMs !== undefined
    ? computeStart(line.at, sinceStartMs)
    : undefined;
}

function computeStart(at: Date, durationMs: number): Date {
  return new Date(at.getTime() - durationMs);
}
