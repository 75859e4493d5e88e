import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {readQuotaOrganisation, readQuotaPart} from '@gentianshunt/entryModel';
import type {
  EntryQuotaUsage,
  LeadershipState,
  QuotaDecision,
  QuotaRequest,
} from '@gentianshunt/entryModel';
import type {NodeId, QuotaAccountId} from '@gentianshunt/identifiers';
import {
  addToWindow,
  estimateReleaseMs,
  mergeSlices,
  removeExpiredSlices,
  sumWindow,
} from '@gentianshunt/limits';
import type {WindowSlices} from '@gentianshunt/limits';

import {
  computeAccountTokens,
  computeRankFraction,
  estimateUnreportedFraction,
} from './quotaLimit.js';
import type {AccountTokens} from './quotaLimit.js';
import {isWindowKnown, readTolerance, sumUnreported} from './quotaOwnerView.js';
import type {QuotaOwnerView} from './quotaOwnerView.js';

/** How long prepaid tokens are valid. */
export const PREPAID_LIFETIME_MS: Milliseconds = 2_000;
/** Fraction of the account in use up to which prepaid tokens are issued. */
export const PREPAID_MAX_LOAD = 0.5;
/**
 * Most prepaid tokens, as a multiple of what the entry used of the account in
 * the lifetime of prepaid tokens before the request.
 */
export const PREPAID_DEMAND_FACTOR = 4;

/** Above any possible usage; entries request whole numbers of tokens. */
const UNLIMITED_TOKENS: AccountTokens = {
  ofRank: Number.MAX_SAFE_INTEGER,
  total: Number.MAX_SAFE_INTEGER,
};

/** A quota request, and what the owner knows of its set and its entry. */
export interface QuotaRequestContext {
  readonly quotaRequest: QuotaRequest;
  readonly leadership: LeadershipState;
  /** Usage that the entry reports, before the decision is counted. */
  readonly record: EntryQuotaUsage;
}

/** A decision, and the usage counted for the entry after it. */
export interface DecidedQuotaRequest {
  readonly decision: QuotaDecision;
  readonly slices: WindowSlices;
}

/** Decides whether an account covers a request. */
export function decideQuotaRequest(
  view: QuotaOwnerView,
  from: NodeId,
  context: QuotaRequestContext,
  now: TurnTime,
): DecidedQuotaRequest {
  const {quotaRequest, record} = context;
  const reported = record.slices;
  const {account, request, tokens, epoch, sequence} = quotaRequest;
  const {windowMs} = readTolerance(view);
  const slicesByNode = readUsage(view, from, context, now);
  const used = mergeSlices(slicesByNode.values());
  const usedTokens = sumWindow(used);
  const limitTokens = computeLimit(view, context, now);
  const isCovered =
    usedTokens <= limitTokens || isCoveredAlone(view, quotaRequest, usedTokens);
  const decision = {
    account,
    epoch,
    sequence,
    request,
    isCovered,
    usedTokens,
    limitTokens,
  };
  if (!isCovered) {
    const amount = usedTokens - limitTokens;
    const release = {now: now.monotonic, windowMs, amount};
    const retryAfterMs = estimateReleaseMs(used, release);
    return {
      decision: {...decision, retryAfterMs, spareTokens: 0},
      slices: addToWindow(reported, now.monotonic, -tokens),
    };
  }
  const headroom = PREPAID_MAX_LOAD * limitTokens - usedTokens;
  const share = headroom / slicesByNode.size;
  const demand = estimateDemand(reported, tokens, now);
  const spareTokens = Math.max(0, Math.floor(Math.min(share, demand)));
  return {
    decision: {...decision, retryAfterMs: 0, spareTokens},
    // Prepaid tokens count as used at the end of their lifetime.
    slices: addToWindow(
      reported,
      now.monotonic + PREPAID_LIFETIME_MS,
      spareTokens,
    ),
  };
}

/**
 * Returns whether the first account of an organisation covers a request that is
 * larger than the account, because nothing else was used of it.
 */
function isCoveredAlone(
  view: QuotaOwnerView,
  {account, tokens}: QuotaRequest,
  usedTokens: number,
): boolean {
  return (
    readQuotaPart(account) === 0 &&
    tokens > readAccountTokens(view, account, 1).total &&
    usedTokens <= tokens
  );
}

/** Estimates what an entry will use in the lifetime of prepaid tokens. */
function estimateDemand(
  reported: WindowSlices,
  requestTokens: number,
  now: TurnTime,
): number {
  const since = now.monotonic - PREPAID_LIFETIME_MS;
  const recent = sumWindow(removeExpiredSlices(reported, since));
  return PREPAID_DEMAND_FACTOR * Math.max(0, recent - requestTokens);
}

/** Reads the use of an account by each entry that has used it. */
function readUsage(
  {board}: QuotaOwnerView,
  from: NodeId,
  {quotaRequest: {account}, record}: QuotaRequestContext,
  now: TurnTime,
): ReadonlyMap<NodeId, WindowSlices> {
  const {windowMs} = readTolerance({board});
  const since = now.monotonic - windowMs;
  const records = iterateWhile(
    board.ownedQuotaUsage,
    {account, node: '' as NodeId},
    key => key.account === account,
  );
  const slices = new Map<NodeId, WindowSlices>();
  for (const {key, value} of records) {
    slices.set(key.node, removeExpiredSlices(mergeProcessSlices(value), since));
  }
  return slices.set(
    from,
    removeExpiredSlices(mergeProcessSlices(record), since),
  );
}

function computeLimit(
  view: QuotaOwnerView,
  {quotaRequest: {account, rank}, leadership}: QuotaRequestContext,
  now: TurnTime,
): number {
  const organisation = readQuotaOrganisation(account);
  const {configuration} = view.board;
  const fraction = computeRankFraction(configuration, organisation, rank);
  const {ofRank, total} = readAccountTokens(view, account, fraction);
  const unreported = isWindowKnown(view, leadership, now)
    ? 0
    : estimateUnreported(view, leadership, now);
  return Math.max(0, Math.floor(ofRank - total * unreported));
}

function estimateUnreported(
  view: QuotaOwnerView,
  leadership: LeadershipState,
  now: TurnTime,
): number {
  return estimateUnreportedFraction({
    ownedForMs: now.monotonic - leadership.grantsFrom,
    windowMs: readTolerance(view).windowMs,
    entryCount: view.board.control.directory.entries.length,
    unreportedEntries: sumUnreported(view, leadership),
  });
}

/** Reads the tokens that an account issues. Without a quota all are covered. */
function readAccountTokens(
  view: QuotaOwnerView,
  account: QuotaAccountId,
  rankFraction: number,
): AccountTokens {
  const organisation = readQuotaOrganisation(account);
  const {configuration} = view.board;
  const quota =
    findObject(configuration, 'organisation', organisation)?.limits.tokens ??
    null;
  return quota === null
    ? UNLIMITED_TOKENS
    : computeAccountTokens(quota, readTolerance(view), rankFraction);
}

/** Merges the usage of all processes of an entry. */
export function mergeProcessSlices({
  earlier,
  slices,
}: EntryQuotaUsage): WindowSlices {
  return earlier.length === 0 ? slices : mergeSlices([earlier, slices]);
}
