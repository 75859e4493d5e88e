import type {RunSummary} from './metrics.js';
import type {PolicyResult} from './comparePolicies.js';

interface Column {
  readonly title: string;
  readonly read: (summary: RunSummary) => string;
}

const COLUMNS: readonly Column[] = [
  {title: 'goodput', read: summary => summary.weightedGoodput.toFixed(0)},
  ...[0, 1, 2].map(index => ({
    title: `tier${index + 1}`,
    read: ({tiers}: RunSummary) => tiers[index]!.goodput.toFixed(0),
  })),
  {title: 'topTier', read: summary => summary.topTierGoodput.toFixed(4)},
  {
    title: 'wastedKtok',
    read: summary => (summary.wastedPrefillTokens / 1_000).toFixed(0),
  },
  {title: 'wasted', read: summary => summary.wastedPrefillShare.toFixed(3)},
  {title: 'small', read: summary => summary.smallOrgShare.toFixed(3)},
  {title: 'violations', read: summary => String(summary.tierOrderViolations)},
  {
    title: 'refused',
    read: ({tiers}) => tiers.map(tier => tier.refused).join('/'),
  },
  {title: 'cut', read: summary => String(summary.cut)},
  {
    title: 'ttftP99',
    read: summary => (summary.firstTokenMs.p99 ?? 0).toFixed(0),
  },
];

const NAME_WIDTH = 24;
const COLUMN_WIDTH = 12;

/** Formats the figures of the policies as a text table. */
export function formatTable(results: readonly PolicyResult[]): string {
  const header =
    'policy'.padEnd(NAME_WIDTH) +
    COLUMNS.map(({title}) => title.padStart(COLUMN_WIDTH)).join('');
  const rows = results.map(
    ({policy, summary}) =>
      policy.padEnd(NAME_WIDTH) +
      COLUMNS.map(({read}) => read(summary).padStart(COLUMN_WIDTH)).join(''),
  );
  return [header, ...rows].join('\n');
}
