import {iterateWhile} from '@gentianshunt/board';
import type {OrderedEntry, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {
  EntryQuotaKey,
  EntryQuotaUsage,
  LeadershipState,
  QuotaDecision,
  QuotaRequest,
} from '@gentianshunt/entryModel';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import {
  addToWindow,
  estimateReleaseMs,
  mergeSlices,
  removeExpiredSlices,
  sumWindow,
} from '@gentianshunt/limits';
import type {WindowSlices} from '@gentianshunt/limits';

import {
  computeFallbackTokens,
  computeRankFraction,
  computeWindowTokens,
  estimateUnreportedFraction,
} from './quotaLimit.js';
import {readTolerance, sumUnreported} from './quotaOwnerView.js';
import type {QuotaOwnerView} from './quotaOwnerView.js';

/** How long prepaid tokens are valid. */
export const PREPAID_LIFETIME_MS: Milliseconds = 2_000;
/** Fraction of the limit in use up to which prepaid tokens are handed out. */
export const PREPAID_MAX_LOAD = 0.5;

/** Above any possible usage; entries request whole numbers of tokens. */
const UNLIMITED_TOKENS = Number.MAX_SAFE_INTEGER;

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

/** Usage of a quota by all entries within the window. */
interface QuotaUsage {
  readonly slices: WindowSlices;
  readonly used: number;
  /** Tokens reserved for the unused rest of all fallback quotas. */
  readonly reserved: number;
  readonly entryCount: number;
}

/** Decides whether a quota covers a request. */
export function decideQuotaRequest(
  view: QuotaOwnerView,
  from: NodeId,
  context: QuotaRequestContext,
  now: TurnTime,
): DecidedQuotaRequest {
  const {quotaRequest, record} = context;
  const reported = record.slices;
  const {organisation, request, tokens, epoch, sequence} = quotaRequest;
  const {windowMs} = readTolerance(view);
  const usage = computeUsage(view, from, context, now);
  const limitTokens = computeLimit(view, context, usage, now);
  const usedTokens = usage.used + usage.reserved;
  // A request larger than the limit is covered if nothing else was used.
  const isCovered =
    usedTokens <= limitTokens || (tokens > limitTokens && usage.used <= tokens);
  const decision = {
    organisation,
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
    const retryAfterMs = estimateReleaseMs(usage.slices, release);
    return {
      decision: {...decision, retryAfterMs, spareTokens: 0},
      slices: addToWindow(reported, now.monotonic, -tokens),
    };
  }
  const headroom = PREPAID_MAX_LOAD * limitTokens - usedTokens;
  const spareTokens = Math.max(0, Math.floor(headroom / usage.entryCount));
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

function computeUsage(
  view: QuotaOwnerView,
  from: NodeId,
  {quotaRequest, record}: QuotaRequestContext,
  now: TurnTime,
): QuotaUsage {
  const {organisation} = quotaRequest;
  const {windowMs} = readTolerance(view);
  const records = listRecords(view, organisation);
  const since = now.monotonic - windowMs;
  const slicesByNode = new Map<NodeId, WindowSlices>(
    records.map(({key, value}) => [
      key.node,
      removeExpiredSlices(mergeProcessSlices(value), since),
    ]),
  );
  slicesByNode.set(
    from,
    removeExpiredSlices(mergeProcessSlices(record), since),
  );
  const {entries} = view.board.control.directory;
  const total = computeQuotaTokens(view, organisation);
  const fallbackTokens = computeFallbackTokens(total, entries.length);
  const reserved = entries.map(({address}) =>
    Math.max(
      0,
      fallbackTokens - sumWindow(slicesByNode.get(address.node) ?? []),
    ),
  );
  const slices = mergeSlices(slicesByNode.values());
  return {
    slices,
    used: sumWindow(slices),
    reserved: reserved.reduce((sum, tokens) => sum + tokens, 0),
    entryCount: Math.max(1, entries.length),
  };
}

function computeLimit(
  view: QuotaOwnerView,
  {quotaRequest: {organisation, rank}, leadership}: QuotaRequestContext,
  {entryCount}: QuotaUsage,
  now: TurnTime,
): number {
  const unreportedFraction = estimateUnreportedFraction({
    ownedForMs: now.monotonic - leadership.grantsFrom,
    windowMs: readTolerance(view).windowMs,
    entryCount,
    unreportedEntries: sumUnreported(view, leadership),
  });
  const rankFraction = computeRankFraction(
    view.board.configuration,
    organisation,
    rank,
  );
  const total = computeQuotaTokens(view, organisation);
  return Math.max(0, Math.floor(total * (rankFraction - unreportedFraction)));
}

/** Computes the tokens of a window. Without a quota there is no limit. */
function computeQuotaTokens(
  view: QuotaOwnerView,
  organisation: OrganisationId,
): number {
  const {configuration} = view.board;
  const tokens =
    findObject(configuration, 'organisation', organisation)?.limits.tokens ??
    null;
  return tokens === null
    ? UNLIMITED_TOKENS
    : computeWindowTokens(tokens, readTolerance(view));
}

/** Merges the usage of all processes of an entry. */
export function mergeProcessSlices({
  earlier,
  slices,
}: EntryQuotaUsage): WindowSlices {
  return earlier.length === 0 ? slices : mergeSlices([earlier, slices]);
}

function listRecords(
  {board}: QuotaOwnerView,
  organisation: OrganisationId,
): readonly OrderedEntry<EntryQuotaKey, EntryQuotaUsage>[] {
  const from = {organisation, node: '' as NodeId};
  return Array.from(
    iterateWhile(
      board.ownedQuotaUsage,
      from,
      key => key.organisation === organisation,
    ),
  );
}
