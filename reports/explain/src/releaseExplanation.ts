/** Finds in log lines when a release was in force, and where. */
import type {Milliseconds} from '@gentianshunt/clock';

import {readNumber} from './logLine.js';
import type {LogLine} from './logLine.js';

/** Events about a release as a whole, which name it. */
const STAGE_EVENTS: ReadonlySet<string> = new Set([
  'changeReceived',
  'changeEnded',
  'releaseProposed',
  'releaseApplied',
  'releaseSuperseded',
  'releaseInForce',
  'releaseLagging',
]);

/** A line about the release as a whole. */
export interface ReleaseStage {
  /** Time since the first line about the release. */
  readonly offsetMs: Milliseconds;
  readonly line: LogLine;
}

/** A time in which an entry had no lease and took no requests. */
export interface LeaseLapse {
  readonly fromMs: Milliseconds;
  /** `null` if the logs do not show its end. */
  readonly untilMs: Milliseconds | null;
}

/** When an entry obeyed the release or a higher one. */
export interface ReleaseAtEntry {
  readonly entry: string;
  /** The release obeyed before; `null` if the logs do not show it. */
  readonly before: number | null;
  /** `null` if the logs do not show that it adopted the release. */
  readonly adopted: {
    readonly offsetMs: Milliseconds;
    /** A higher one if it skipped the release. */
    readonly release: number;
  } | null;
  /** Lapses of its lease that began before it adopted the release. */
  readonly lapses: readonly LeaseLapse[];
}

/** What the logs show of a release. */
export interface ReleaseExplanation {
  readonly release: number;
  /** The time of the first line, from which offsets count. */
  readonly startedAt: Date;
  readonly stages: readonly ReleaseStage[];
  readonly entries: readonly ReleaseAtEntry[];
}

/**
 * Explains when and where a release was in force. Returns `undefined` if no
 * line mentions it. Times are those of the daemons' wall clocks.
 */
export function createReleaseExplanation(
  lines: readonly LogLine[],
  release: number,
): ReleaseExplanation | undefined {
  const stageLines = lines.filter(
    line =>
      STAGE_EVENTS.has(line.event) && readNumber(line, 'release') === release,
  );
  const first =
    stageLines[0] ?? lines.find(line => isAdoption(line, release, release));
  if (first === undefined) {
    return undefined;
  }
  const startedAt = first.at;
  const measure = ({at}: LogLine): Milliseconds =>
    at.getTime() - startedAt.getTime();
  return {
    release,
    startedAt,
    stages: stageLines.map(line => ({offsetMs: measure(line), line})),
    entries: listEntries(lines).map(entry =>
      describeAtEntry(
        lines.filter(({daemon}) => daemon === entry),
        entry,
        release,
        measure,
      ),
    ),
  };
}

/** Lists the daemons that have obeyed a configuration. */
function listEntries(lines: readonly LogLine[]): readonly string[] {
  const names = lines
    .filter(({event}) => event === 'configurationApplied')
    .map(({daemon}) => daemon);
  return [...new Set(names)].sort();
}

function isAdoption(line: LogLine, from: number, to = Infinity): boolean {
  const release = readNumber(line, 'release') ?? -Infinity;
  return (
    line.event === 'configurationApplied' && release >= from && release <= to
  );
}

function describeAtEntry(
  lines: readonly LogLine[],
  entry: string,
  release: number,
  measure: (line: LogLine) => Milliseconds,
): ReleaseAtEntry {
  const adoption = lines.find(line => isAdoption(line, release));
  const earlier =
    adoption === undefined ? lines : lines.slice(0, lines.indexOf(adoption));
  const before = earlier.filter(line => isAdoption(line, -Infinity)).at(-1);
  return {
    entry,
    before: (before && readNumber(before, 'release')) ?? null,
    adopted:
      adoption === undefined
        ? null
        : {
            offsetMs: measure(adoption),
            release: readNumber(adoption, 'release')!,
          },
    lapses: listLapses(lines, earlier, measure),
  };
}

/** Lists the lapses of a lease before the release was obeyed. */
function listLapses(
  lines: readonly LogLine[],
  earlier: readonly LogLine[],
  measure: (line: LogLine) => Milliseconds,
): readonly LeaseLapse[] {
  return earlier
    .filter(line => line.event === 'leaseLost' && measure(line) >= 0)
    .map(line => {
      const end = lines
        .slice(lines.indexOf(line))
        .find(({event}) => event === 'leaseRegained');
      return {
        fromMs: measure(line),
        untilMs: end === undefined ? null : measure(end),
      };
    });
}
