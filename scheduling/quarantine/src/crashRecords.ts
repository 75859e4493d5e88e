import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  CrashedRun,
  EndpointCrash,
  Fingerprint,
  ReportedBrokenRun,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  EndpointSetId,
  FingerprintId,
  NodeId,
} from '@gentianshunt/identifiers';

/** How long evidence of a crash counts. */
export const EVIDENCE_RETENTION_MS: Milliseconds = 30_000;
/** Runs of an endpoint that break within this time belong to one crash. */
export const CRASH_SPAN_MS: Milliseconds = 1_500;
/** Most crashes that an entry remembers. */
export const MAX_CRASHES = 128;
/** Most runs recorded of one crash; above the connections of an endpoint. */
export const MAX_RUNS_PER_CRASH = 1_024;
/** Most fingerprints in the crashes that an entry remembers. */
export const MAX_CRASH_SUSPECTS = 32_768;

/** Broken runs of a set, as an entry reported them. */
export interface BrokenRunReport {
  readonly reporter: NodeId;
  readonly set: EndpointSetId;
  readonly runs: readonly ReportedBrokenRun[];
}

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
  {reporter, set, runs}: BrokenRunReport,
  now: MonotonicTime,
): readonly EndpointCrash[] {
  const known = runs
    .filter(({ageMs}) => ageMs < EVIDENCE_RETENTION_MS)
    .reduce<readonly EndpointCrash[]>(
      (added, {endpoint, ageMs, progress, suspects}) =>
        addRun(
          added,
          {set, endpoint, at: now - ageMs, runs: []},
          {reporter, progress, suspects},
        ),
      listRecentCrashes(crashes, now),
    )
    .slice(-MAX_CRASHES);
  return limitSuspects(known, MAX_CRASH_SUSPECTS, countSuspects);
}

/** Drops the oldest records until the rest has few enough fingerprints. */
export function limitSuspects<Item>(
  items: readonly Item[],
  limit: number,
  count: (item: Item) => number,
): readonly Item[] {
  let excess = items.reduce((sum, item) => sum + count(item), -limit);
  const first = items.findIndex((item, index) => {
    const fits = excess <= 0 || index === items.length - 1;
    excess -= count(item);
    return fits;
  });
  return first <= 0 ? items : items.slice(first);
}

function countSuspects({runs}: EndpointCrash): number {
  return runs.reduce((sum, {suspects}) => sum + suspects.length, 0);
}

/** Adds a run to the crash that it belongs to, or to a new one. */
function addRun(
  crashes: readonly EndpointCrash[],
  crash: EndpointCrash,
  run: CrashedRun,
): readonly EndpointCrash[] {
  const known = crashes.find(
    ({endpoint, at}) =>
      endpoint === crash.endpoint && Math.abs(at - crash.at) < CRASH_SPAN_MS,
  );
  if (known === undefined) {
    return [...crashes, {...crash, runs: [run]}];
  }
  // That an endpoint failed is known by its first run; others without
  // fingerprints show nothing more.
  if (
    run.suspects.length === 0 ||
    known.runs.length >= MAX_RUNS_PER_CRASH ||
    known.runs.some(other => isSameRun(other, run))
  ) {
    return crashes;
  }
  const changed = {...known, runs: [...known.runs, run]};
  return crashes.map(other => (other === known ? changed : other));
}

/** Recognises a run that its entry reports again to a new set leader. */
function isSameRun(left: CrashedRun, right: CrashedRun): boolean {
  return (
    left.reporter === right.reporter &&
    left.progress === right.progress &&
    left.suspects.length === right.suspects.length &&
    left.suspects.every(
      ({fingerprint}, index) =>
        fingerprint.id === right.suspects[index]?.fingerprint.id,
    )
  );
}

/** Returns whether a run has a fingerprint. */
export function hasSuspect(run: CrashedRun, id: FingerprintId): boolean {
  return run.suspects.some(({fingerprint}) => fingerprint.id === id);
}

/**
 * Lists the runs whose fingerprints of a kind may have caused a crash. A prompt
 * part crashes an endpoint that begins to answer: a run whose head had arrived
 * was about to write its first event, and while there is one, runs that still
 * waited for their head are not suspected. A whole request may crash it whether
 * or not its head has arrived.
 */
export function listSuspectedRuns(
  {runs}: EndpointCrash,
  kind: Fingerprint['kind'],
): readonly CrashedRun[] {
  const undelivered = runs.filter(
    ({progress, suspects}) =>
      progress !== 'delivering' &&
      suspects.some(({fingerprint}) => fingerprint.kind === kind),
  );
  switch (kind) {
    case 'promptPart': {
      const begun = undelivered.filter(
        ({progress}) => progress === 'awaitingFirstEvent',
      );
      return begun.length > 0 ? begun : undelivered;
    }
    case 'request':
      return undelivered;
    default:
      return assertNever(kind, 'listSuspectedRuns');
  }
}
