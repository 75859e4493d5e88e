import type {
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import type {ServiceTotals} from './serviceCount.js';

/** Length of the periods in which recent counts are kept, in milliseconds. */
export const RECENT_PERIOD_MS = 5 * 60 * 1_000;
/** Time for which recent counts are kept, in milliseconds. */
export const RECENT_RETENTION_MS = 6 * 60 * 60 * 1_000;

/** Identifies the counts of one period, tier, organisation and kind. */
export interface RecentCountKey {
  /** Start of the period, in milliseconds since the epoch. */
  readonly startMs: number;
  readonly tier: TierId;
  readonly organisation: OrganisationId;
  readonly kind: RequestKindId;
}

/** Totals of one period. */
export interface RecentCount {
  readonly key: RecentCountKey;
  readonly totals: ServiceTotals;
}

/** Reads the start of the period that an instant belongs to. */
export function computePeriodStart(atMs: number): number {
  return atMs - (atMs % RECENT_PERIOD_MS);
}
