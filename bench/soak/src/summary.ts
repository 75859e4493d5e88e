import type {CheckName} from './finding.js';
import type {SoakResult} from './runSoak.js';
import type {SoakCounts} from './soakCounts.js';

/** Findings of one checker over all runs. */
export interface CheckSummary {
  readonly violations: number;
  readonly excused: number;
}

/** The result of one or several runs. */
export interface SoakSummary {
  readonly bench: 'soak';
  readonly seeds: readonly number[];
  readonly failedSeeds: readonly number[];
  readonly checks: Partial<Readonly<Record<CheckName, CheckSummary>>>;
  /** Sums over all runs; of peaks and delays, the largest. */
  readonly counts: SoakCounts;
}

/** Names of the counts whose largest value is reported. */
const MAXIMA: readonly (keyof SoakCounts)[] = [
  'peakMebibytes',
  'longestDelayMs',
  'longestAckMs',
  'longestApplyMs',
  'longestApplyInTouchMs',
  'peakDiskMebibytes',
];

/** Creates the summary of one run. */
export function createSummary(result: SoakResult): SoakSummary {
  const {seed, findings, counts} = result;
  const isFailed = findings.some(({excuse}) => excuse === null);
  return {
    bench: 'soak',
    seeds: [seed],
    failedSeeds: isFailed ? [seed] : [],
    checks: countByCheck(result),
    counts,
  };
}

/** Merges the summaries of several runs. */
export function mergeSummaries(
  summaries: readonly SoakSummary[],
): SoakSummary | undefined {
  return summaries.length === 0 ? undefined : summaries.reduce(mergeTwo);
}

function mergeTwo(left: SoakSummary, right: SoakSummary): SoakSummary {
  return {
    bench: 'soak',
    seeds: [...left.seeds, ...right.seeds],
    failedSeeds: [...left.failedSeeds, ...right.failedSeeds],
    checks: mergeChecks(left.checks, right.checks),
    counts: mergeCounts(left.counts, right.counts),
  };
}

function mergeCounts(left: SoakCounts, right: SoakCounts): SoakCounts {
  const names = Object.keys(left) as (keyof SoakCounts)[];
  const merged = names.map(name => [
    name,
    MAXIMA.includes(name)
      ? Math.max(left[name], right[name])
      : left[name] + right[name],
  ]);
  return Object.fromEntries(merged) as unknown as SoakCounts;
}

function mergeChecks(
  left: SoakSummary['checks'],
  right: SoakSummary['checks'],
): SoakSummary['checks'] {
  const merged: Partial<Record<CheckName, CheckSummary>> = {...left};
  for (const name of Object.keys(right) as CheckName[]) {
    const before = left[name] ?? {violations: 0, excused: 0};
    merged[name] = {
      violations: before.violations + right[name]!.violations,
      excused: before.excused + right[name]!.excused,
    };
  }
  return merged;
}

function countByCheck({findings}: SoakResult): SoakSummary['checks'] {
  const checks: Partial<Record<CheckName, CheckSummary>> = {};
  for (const {check, excuse} of findings) {
    const {violations, excused} = checks[check] ?? {violations: 0, excused: 0};
    checks[check] = {
      violations: violations + (excuse === null ? 1 : 0),
      excused: excused + (excuse === null ? 0 : 1),
    };
  }
  return checks;
}
