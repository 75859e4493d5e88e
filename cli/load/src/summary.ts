import type {CallEnd, CallResult} from './callResult.js';

/** How the requests of one tier ended. */
export interface TierSummary {
  readonly tier: string;
  readonly answered: number;
  readonly cancelled: number;
  readonly refused: number;
  readonly failed: number;
  /** Answered requests, each counted with the weight of its class. */
  readonly goodput: number;
  /** Time to the first byte of answered requests, in milliseconds. */
  readonly firstByteP50Ms: number | null;
  readonly firstByteP99Ms: number | null;
}

/** Summarises the results by tier, in the given order of tiers. */
export function createSummaries(
  tiers: readonly string[],
  results: readonly CallResult[],
): readonly TierSummary[] {
  return tiers.map(tier => {
    const tierResults = results.filter(result => result.call.tier === tier);
    const answered = tierResults.filter(
      result => result.end.kind === 'answered',
    );
    const times = answered
      .map(result => result.firstByteMs ?? result.totalMs)
      .sort((left, right) => left - right);
    return {
      tier,
      answered: answered.length,
      cancelled: countEnds(tierResults, 'cancelled'),
      refused: countEnds(tierResults, 'refused'),
      failed: countEnds(tierResults, 'failed'),
      goodput: answered.reduce((sum, result) => sum + result.call.weight, 0),
      firstByteP50Ms: readQuantile(times, 0.5),
      firstByteP99Ms: readQuantile(times, 0.99),
    };
  });
}

function countEnds(
  results: readonly CallResult[],
  kind: CallEnd['kind'],
): number {
  return results.filter(result => result.end.kind === kind).length;
}

function readQuantile(
  sorted: readonly number[],
  fraction: number,
): number | null {
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[index] ?? null;
}

/** Formats the summaries as a table of fixed-width columns. */
export function formatSummaries(summaries: readonly TierSummary[]): string {
  const header = [
    'tier',
    'answered',
    'cancelled',
    'refused',
    'failed',
    'goodput',
    'first p50',
    'first p99',
  ];
  const rows = summaries.map(summary => [
    summary.tier,
    summary.answered,
    summary.cancelled,
    summary.refused,
    summary.failed,
    summary.goodput,
    formatMs(summary.firstByteP50Ms),
    formatMs(summary.firstByteP99Ms),
  ]);
  return [header, ...rows].map(formatRow).join('\n');
}

const COLUMN_WIDTH = 11;

function formatRow(cells: readonly (string | number)[]): string {
  return cells
    .map(cell => String(cell).padEnd(COLUMN_WIDTH))
    .join('')
    .trimEnd();
}

function formatMs(value: number | null): string {
  return value === null ? '-' : `${Math.round(value)} ms`;
}
