import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  CrashedRun,
  EndpointCrash,
  ReportedBrokenRun,
} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

/** How long evidence of a crash counts. */
export const EVIDENCE_RETENTION_MS: Milliseconds = 30_000;
/** Runs of an endpoint that break within this time belong to one crash. */
export const CRASH_SPAN_MS: Milliseconds = 1_500;
/** Most crashes that an entry remembers. */
export const MAX_CRASHES = 128;
/** Most runs recorded of one crash. */
export const MAX_RUNS_PER_CRASH = 16;

/** Lists the crashes that still count. */
export function listRecentCrashes(
  crashes: readonly EndpointCrash[],
  now: MonotonicTime,
): readonly EndpointCrash[] {
  return crashes.filter(({at}) => now - at < EVIDENCE_RETENTION_MS);
}

/** Adds reported runs to the crashes of their endpoints. */
export function addReportedRuns(
  crashes: readonly EndpointCrash[],
  reporter: NodeId,
  runs: readonly ReportedBrokenRun[],
  now: MonotonicTime,
): readonly EndpointCrash[] {
  return runs
    .filter(({ageMs}) => ageMs < EVIDENCE_RETENTION_MS)
    .reduce<readonly EndpointCrash[]>(
      (known, run) => addReportedRun(known, reporter, run, now),
      listRecentCrashes(crashes, now),
    )
    .slice(-MAX_CRASHES);
}

function addReportedRun(
  crashes: readonly EndpointCrash[],
  reporter: NodeId,
  {endpoint, ageMs, progress, parts}: ReportedBrokenRun,
  now: MonotonicTime,
): readonly EndpointCrash[] {
  const at = now - ageMs;
  // That an endpoint failed is known by its first run; others without parts
  // show nothing more.
  const run = {reporter, progress, parts};
  const isEmpty = parts.length === 0;
  const known = crashes.find(
    crash =>
      crash.endpoint === endpoint && Math.abs(crash.at - at) < CRASH_SPAN_MS,
  );
  if (known === undefined) {
    return [...crashes, {endpoint, at, runs: [run]}];
  }
  if (
    isEmpty ||
    known.runs.length >= MAX_RUNS_PER_CRASH ||
    known.runs.some(other => isSameRun(other, run))
  ) {
    return crashes;
  }
  const changed = {...known, runs: [...known.runs, run]};
  return crashes.map(crash => (crash === known ? changed : crash));
}

/** Recognises a run that its entry reports again to a new set leader. */
function isSameRun(left: CrashedRun, right: CrashedRun): boolean {
  return (
    left.reporter === right.reporter &&
    left.progress === right.progress &&
    left.parts.length === right.parts.length &&
    left.parts.every(({part}, index) => part === right.parts[index]?.part)
  );
}

/**
 * Lists the runs that may have caused a crash. A run whose head had arrived was
 * about to write its first event; while there is one, runs that still waited
 * for their head are not suspected.
 */
export function listSuspectedRuns({
  runs,
}: EndpointCrash): readonly CrashedRun[] {
  const begun = runs.filter(
    ({progress, parts}) =>
      progress === 'awaitingFirstEvent' && parts.length > 0,
  );
  return begun.length > 0
    ? begun
    : runs.filter(({progress}) => progress !== 'delivering');
}
