import type {RequestKind, Tier} from '@gentianshunt/configuration';
import type {
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';
import {readMonth, RECENT_PERIOD_MS} from '@gentianshunt/messages';
import type {
  RecentCount,
  ServiceCount,
  ServiceTotals,
} from '@gentianshunt/messages';

import {SLIDING_WINDOWS} from './burnWindow.js';
import type {BurnWindow} from './burnWindow.js';

/** What a report needs of a tier. */
export type BurnTier = Pick<Tier, 'id' | 'rank' | 'objective'>;
/** What a report needs of a request kind. */
export type BurnKind = Pick<RequestKind, 'id' | 'weight'>;

/** What the deployment holds for a burn report. */
export interface BurnInput {
  readonly tiers: readonly BurnTier[];
  readonly kinds: readonly BurnKind[];
  readonly months: readonly ServiceCount[];
  readonly recent: readonly RecentCount[];
}

/** What a burn report is made from. */
export interface BurnReportOptions extends BurnInput {
  readonly now: Date;
}

/** The burn of one tier in one window. */
export interface BurnRow {
  readonly window: BurnWindow;
  readonly tier: TierId;
  /** `null` for all organisations together. */
  readonly organisation: OrganisationId | null;
  /** Requests answered whole and on time, weighted by kind. */
  readonly good: number;
  /** Requests shed, failed or answered late, weighted by kind. */
  readonly bad: number;
  /** Share of bad requests; `null` when there were none at all. */
  readonly badShare: number | null;
  /** Share of bad requests over the share that the objective allows. */
  readonly burn: number | null;
}

/** The burn of every tier and organisation, by window. */
export interface BurnReport {
  readonly at: Date;
  readonly rows: readonly BurnRow[];
}

interface BurnEvents {
  readonly tier: TierId;
  readonly organisation: OrganisationId;
  readonly good: number;
  readonly bad: number;
}

/** Creates the report from the counts of the control log. */
export function createBurnReport(options: BurnReportOptions): BurnReport {
  const weights = new Map(options.kinds.map(kind => [kind.id, kind.weight]));
  const month: BurnWindow = {kind: 'month', month: readMonth(options.now)};
  const windows = [...SLIDING_WINDOWS, month];
  const tiers = [...options.tiers].sort(
    (left, right) => left.rank - right.rank,
  );
  const rows = windows.flatMap(window => {
    const events = listEvents(options, window, weights);
    return tiers.flatMap(tier => listTierRows(window, tier, events));
  });
  return {at: options.now, rows};
}

function listEvents(
  options: BurnReportOptions,
  window: BurnWindow,
  weights: ReadonlyMap<RequestKindId, number>,
): readonly BurnEvents[] {
  const counts = listCounts(options, window);
  return counts.map(({key, totals}) =>
    toEvents(key.tier, key.organisation, totals, weights.get(key.kind) ?? 1),
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
      // A period counts when any part of it lies in the window.
      const from = options.now.getTime() - window.durationMs;
      return options.recent.filter(
        count => count.key.startMs + RECENT_PERIOD_MS > from,
      );
    }
  }
}

function toEvents(
  tier: TierId,
  organisation: OrganisationId,
  totals: ServiceTotals,
  weight: number,
): BurnEvents {
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
  events: readonly BurnEvents[],
): readonly BurnRow[] {
  const own = events.filter(event => event.tier === tier.id);
  const organisations = [...new Set(own.map(event => event.organisation))];
  return [
    createRow(window, tier, null, own),
    ...organisations.sort().map(organisation =>
      createRow(
        window,
        tier,
        organisation,
        own.filter(event => event.organisation === organisation),
      ),
    ),
  ];
}

function createRow(
  window: BurnWindow,
  tier: BurnTier,
  organisation: OrganisationId | null,
  events: readonly BurnEvents[],
): BurnRow {
  const good = events.reduce((sum, event) => sum + event.good, 0);
  const bad = events.reduce((sum, event) => sum + event.bad, 0);
  const badShare = good + bad === 0 ? null : bad / (good + bad);
  const burn = badShare === null ? null : badShare / (1 - tier.objective);
  return {window, tier: tier.id, organisation, good, bad, badShare, burn};
}
