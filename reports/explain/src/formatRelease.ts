import type {Milliseconds} from '@gentianshunt/clock';

import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';
import type {
  LeaseLapse,
  ReleaseAtEntry,
  ReleaseExplanation,
  ReleaseStage,
} from './releaseExplanation.js';

/** Fields of a stage that say how it went. */
const STAGE_FIELDS = ['outcome', 'detail', 'sinceAppliedMs', 'nodes'];

/** Formats when and where a release was in force for a terminal. */
export function formatReleaseExplanation({
  release,
  startedAt,
  stages,
  entries,
}: ReleaseExplanation): string {
  return [
    `release ${release}, times from ${startedAt.toISOString()}`,
    ...stages.map(formatStage),
    ...entries.map(formatEntry),
  ].join('\n');
}

function formatStage({offsetMs, line}: ReleaseStage): string {
  const fields = STAGE_FIELDS.filter(
    name => (line.fields[name] ?? null) !== null,
  ).map(name => `${name}=${formatField(line, name)}`);
  return [formatOffset(offsetMs), line.daemon, line.event, ...fields].join(' ');
}

function formatField(line: LogLine, name: string): string {
  return readText(line, name) ?? JSON.stringify(line.fields[name]);
}

function formatEntry({entry, before, adopted, lapses}: ReleaseAtEntry): string {
  const obeyed =
    adopted === null
      ? 'does not obey it in these logs'
      : `obeys ${adopted.release} from ${formatOffset(adopted.offsetMs)}`;
  const former = before === null ? [] : [`obeyed ${before} before`];
  return [`${entry} ${obeyed}`, ...former, ...lapses.map(formatLapse)].join(
    ', ',
  );
}

function formatLapse({fromMs, untilMs}: LeaseLapse): string {
  const until = untilMs === null ? 'the end' : formatOffset(untilMs);
  return `no lease from ${formatOffset(fromMs)} to ${until}`;
}

function formatOffset(offsetMs: Milliseconds): string {
  return `${offsetMs < 0 ? '-' : '+'}${Math.abs(offsetMs)} ms`;
}
