/** How many tokens of a quota may be used: in total, by account, by rank. */
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject, listObjects} from '@gentianshunt/configuration';
import type {ConfigurationTable, TokenQuota} from '@gentianshunt/configuration';
import {QUOTA_ACCOUNT_COUNT} from '@gentianshunt/entryModel';
import type {QuotaTolerance} from '@gentianshunt/entryModel';
import type {OrganisationId} from '@gentianshunt/identifiers';

/**
 * Fraction of the tolerated tokens (the quota, plus the overage and slack that
 * the operator tolerates) that is issued; the rest is a safety margin.
 */
export const ISSUED_FRACTION = 0.95;
/** Fraction of a quota that a tier leaves to each tier above it. */
export const RESERVED_FRACTION_PER_TIER = 0.1;

/**
 * Assumed usage of an entry that has not reported, as a multiple of the quota
 * divided by the number of entries.
 */
const UNREPORTED_USAGE_FACTOR = 2;

const MS_PER_SECOND = 1_000;

/** Computes the tokens that all entries together may use within a window. */
export function computeWindowTokens(
  quota: TokenQuota,
  tolerance: QuotaTolerance,
): number {
  const {overage, slackTokens} = tolerance;
  const quotaTokens = computeQuotaTokens(quota, tolerance);
  return ISSUED_FRACTION * (quotaTokens * (1 + overage) + slackTokens);
}

/** Computes the tokens of a window without what is tolerated beyond them. */
function computeQuotaTokens(
  {tokensPerSecond, burstTokens}: TokenQuota,
  {windowMs}: QuotaTolerance,
): number {
  return (tokensPerSecond * windowMs) / MS_PER_SECOND + burstTokens;
}

/** The tokens of a window that one account issues. */
export interface AccountTokens {
  /** Tokens that requests of a rank may fill. */
  readonly ofRank: number;
  readonly total: number;
}

/**
 * Computes the tokens of a window that one account issues. Requests of a lower
 * rank leave some to those above it, but only of what is tolerated beyond the
 * quota: no request within the quota is refused.
 */
export function computeAccountTokens(
  quota: TokenQuota,
  tolerance: QuotaTolerance,
  rankFraction: number,
): AccountTokens {
  const windowTokens = computeWindowTokens(quota, tolerance);
  const ofRank = Math.max(
    Math.min(windowTokens, computeQuotaTokens(quota, tolerance)),
    windowTokens * rankFraction,
  );
  return {
    ofRank: ofRank / QUOTA_ACCOUNT_COUNT,
    total: windowTokens / QUOTA_ACCOUNT_COUNT,
  };
}

/** Computes the fraction of a quota that requests of a rank may fill. */
export function computeRankFraction(
  configuration: ConfigurationTable,
  organisation: OrganisationId,
  rank: number,
): number {
  const offset =
    findObject(configuration, 'organisation', organisation)?.rankOffset ?? 0;
  const above = listObjects(configuration, 'tier').filter(
    tier => tier.rank + offset < rank,
  );
  return Math.max(0, 1 - RESERVED_FRACTION_PER_TIER * above.length);
}

/** What a quota owner knows of the usage before it became the owner. */
export interface OwnerKnowledge {
  /** Time since this entry became the quota owner. */
  readonly ownedForMs: Milliseconds;
  readonly windowMs: Milliseconds;
  readonly entryCount: number;
  /**
   * Number of entries with unreported usage. An entry that reported part of
   * the window counts as the fraction of the window that is missing.
   */
  readonly unreportedEntries: number;
}

/**
 * Estimates the fraction of a quota that may have been used without the
 * knowledge of a new quota owner: by entries that have not reported all their
 * usage, and by a previous owner that failed. It declines to 0 within one
 * window.
 */
export function estimateUnreportedFraction(knowledge: OwnerKnowledge): number {
  const {ownedForMs, windowMs, entryCount, unreportedEntries} = knowledge;
  const remaining = Math.max(0, 1 - Math.max(0, ownedForMs) / windowMs);
  // The previous owner may have failed and can then not report the usage of its
  // entry, so at least one entry counts as unreported.
  const entryFraction =
    Math.max(unreportedEntries, 1) / Math.max(1, entryCount);
  return Math.min(1, UNREPORTED_USAGE_FACTOR * entryFraction) * remaining;
}
