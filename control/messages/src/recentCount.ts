import type {
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import type {ServiceTotals} from './serviceCount.js';

/** Length of the periods of recent counts, in milliseconds. */
export const RECENT_PERIOD_MS = 5 * 60 * 1_000;
/** Retention of recent counts, in milliseconds. */
export const RECENT_RETENTION_MS = 6 * 60 * 60 * 1_000;

/** Identifies the counts of one period, tier, organisation and request kind. */
export interface RecentCountKey {
  /** Start of the period, in milliseconds since 1970. */
  readonly startMs: number;
  readonly tier: TierId;
  readonly organisation: OrganisationId;
  readonly kind: RequestKindId;
}

/** Totals of one recent count key. */
export interface RecentCount {
  readonly key: RecentCountKey;
  readonly totals: ServiceTotals;
}

/** Computes the start of the period that contains a time. */
export function computePeriodStart(atMs: number): number {
  return atMs - (atMs % RECENT_PERIOD_MS);
}
