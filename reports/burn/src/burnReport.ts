import type {RequestKind, Tier} from '@gentianshunt/configuration';
import type {
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';
import {RECENT_PERIOD_MS, toCalendarMonth} from '@gentianshunt/messages';
import type {
  RecentCount,
  ServiceCount,
  ServiceTotals,
} from '@gentianshunt/messages';

import {SLIDING_WINDOWS} from './burnWindow.js';
import type {BurnWindow} from './burnWindow.js';

/** The attributes of a tier that a burn report needs. */
export type BurnTier = Pick<Tier, 'id' | 'rank' | 'objective'>;
/** The attributes of a request kind that a burn report needs. */
export type BurnKind = Pick<RequestKind, 'id' | 'weight'>;

/** The data of a deployment that a burn report is computed from. */
export interface BurnInput {
  readonly tiers: readonly BurnTier[];
  readonly kinds: readonly BurnKind[];
  readonly months: readonly ServiceCount[];
  readonly recent: readonly RecentCount[];
}

export interface BurnReportOptions extends BurnInput {
  readonly now: Date;
}

/** The burn of a tier, or of one organisation in it, in one window. */
export interface BurnRow {
  readonly window: BurnWindow;
  readonly tier: TierId;
  /** `null` for all organisations together. */
  readonly organisation: OrganisationId | null;
  /** Requests answered completely and on time, weighted by kind. */
  readonly good: number;
  /** Requests shed, failed or answered late, weighted by kind. */
  readonly bad: number;
  /** Fraction of bad requests; `null` if there were no requests. */
  readonly badShare: number | null;
  /**
   * The fraction of bad requests divided by the fraction that the objective
   * allows; above 1, the objective is missed.
   */
  readonly burn: number | null;
}

/** The burn of each tier and organisation in each window. */
export interface BurnReport {
  readonly at: Date;
  readonly rows: readonly BurnRow[];
}

interface WeightedCounts {
  readonly tier: TierId;
  readonly organisation: OrganisationId;
  readonly good: number;
  readonly bad: number;
}

/** Creates the report from the service counts of the control log. */
export function createBurnReport(options: BurnReportOptions): BurnReport {
  const weights = new Map(options.kinds.map(kind => [kind.id, kind.weight]));
  const month: BurnWindow = {
    kind: 'month',
    month: toCalendarMonth(options.now),
  };
  const windows = [...SLIDING_WINDOWS, month];
  const tiers = [...options.tiers].sort(
    (left, right) => left.rank - right.rank,
  );
  const rows = windows.flatMap(window => {
    const counts = listWeightedCounts(options, window, weights);
    return tiers.flatMap(tier => listTierRows(window, tier, counts));
  });
  return {at: options.now, rows};
}

function listWeightedCounts(
  options: BurnReportOptions,
  window: BurnWindow,
  weights: ReadonlyMap<RequestKindId, number>,
): readonly WeightedCounts[] {
  const counts = listCounts(options, window);
  return counts.map(({key, totals}) =>
    toWeightedCounts(
      key.tier,
      key.organisation,
      totals,
      weights.get(key.kind) ?? 1,
    ),
  );
}

function listCounts(
  options: BurnReportOptions,
  window: BurnWindow,
): readonly (ServiceCount | RecentCount)[] {
  switch (window.kind) {
    case 'month':
      return options.months.filter(count => count.key.month === window.month);
    case 'sliding': {
      // Includes periods that lie only partly in the window.
      const from = options.now.getTime() - window.durationMs;
      return options.recent.filter(
        count => count.key.startMs + RECENT_PERIOD_MS > from,
      );
    }
  }
}

function toWeightedCounts(
  tier: TierId,
  organisation: OrganisationId,
  totals: ServiceTotals,
  weight: number,
): WeightedCounts {
  const late = totals.answered - totals.onTime;
  return {
    tier,
    organisation,
    good: weight * totals.onTime,
    bad: weight * (totals.shed + totals.failed + late),
  };
}

function listTierRows(
  window: BurnWindow,
  tier: BurnTier,
  counts: readonly WeightedCounts[],
): readonly BurnRow[] {
  const tierCounts = counts.filter(count => count.tier === tier.id);
  const organisations = [
    ...new Set(tierCounts.map(count => count.organisation)),
  ];
  return [
    createRow(window, tier, null, tierCounts),
    ...organisations.sort().map(organisation =>
      createRow(
        window,
        tier,
        organisation,
        tierCounts.filter(count => count.organisation === organisation),
      ),
    ),
  ];
}

function createRow(
  window: BurnWindow,
  tier: BurnTier,
  organisation: OrganisationId | null,
  counts: readonly WeightedCounts[],
): BurnRow {
  const good = counts.reduce((sum, count) => sum + count.good, 0);
  const bad = counts.reduce((sum, count) => sum + count.bad, 0);
  const badShare = good + bad === 0 ? null : bad / (good + bad);
  const burn = badShare === null ? null : badShare / (1 - tier.objective);
  return {window, tier: tier.id, organisation, good, bad, badShare, burn};
}
