import type {RunTime} from './recordedEvent.js';

/** Names of the checkers. */
export type CheckName =
  | 'leaves'
  | 'leavingAnswers'
  | 'runOnce'
  | 'refusals'
  | 'answers'
  | 'bodies'
  | 'cancelled'
  | 'closedWithoutAnswer'
  | 'plannedWork'
  | 'acknowledgements'
  | 'processEnds'
  | 'memory'
  | 'dataFolders'
  | 'obeyedVersions'
  | 'configurationReads'
  | 'addedRoutes'
  | 'regressions'
  | 'revokedKeys'
  | 'refusedDocuments'
  | 'repeatedOrders'
  | 'readBack'
  | 'leases'
  | 'recovery';

/** Something that a rule forbids, unless it has an excuse. */
export interface Finding {
  readonly check: CheckName;
  readonly at: RunTime;
  readonly detail: string;
  /** Why the rule does not count it; `null` for a violation. */
  readonly excuse: string | null;
}

const MS_PER_SECOND = 1_000;

/** Formats a time of the run in seconds. */
export function formatTime(at: RunTime): string {
  return `${(at / MS_PER_SECOND).toFixed(3)} s`;
}

/** Formats a finding on one line. */
export function formatFinding(finding: Finding): string {
  const {check, at, detail, excuse} = finding;
  const result = excuse === null ? 'violation' : `excused (${excuse})`;
  return `${result} ${check} at ${formatTime(at)}: ${detail}`;
}
