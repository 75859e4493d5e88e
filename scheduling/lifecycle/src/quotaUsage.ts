/** What this entry has used of the accounts of token quotas. */
import type {TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import {mixRoundTrip, readSharedBounds} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  AskedQuotaOwner,
  PrepaidTokens,
  QuotaDecision,
  QuotaRequest,
  QuotaTolerance,
  QuotaUsageState,
} from '@gentianshunt/entryModel';
import type {QuotaAccountId} from '@gentianshunt/identifiers';
import {addToWindow, removeExpiredSlices} from '@gentianshunt/limits';
import {
  computeCoveredMs,
  PREPAID_LIFETIME_MS,
  toReportedUsage,
} from '@gentianshunt/quotas';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

const NO_PREPAID_TOKENS: PrepaidTokens = {
  tokens: 0,
  until: Number.NEGATIVE_INFINITY,
};

/** Reads how many tokens a request counts. */
export function readQuotaTokens({routePolicy}: AdmittedRequest): number {
  return routePolicy?.quotaTokens ?? 0;
}

/** Charges a request to prepaid tokens; returns whether they cover it. */
export function spendPrepaidTokens(
  view: LifecycleView,
  draft: RequestDraft,
  account: QuotaAccountId,
  request: AdmittedRequest,
  now: TurnTime,
): boolean {
  const state = readUsageState(view, draft, account, now);
  const tokens = readQuotaTokens(request);
  const {prepaid} = state;
  if (prepaid.until <= now.monotonic || prepaid.tokens < tokens) {
    return false;
  }
  draft.putQuota(account, {
    ...state,
    slices: addToWindow(state.slices, now.monotonic, tokens),
    prepaid: {...prepaid, tokens: prepaid.tokens - tokens},
  });
  return true;
}

/** Charges a request to an account and creates the quota request for it. */
export function consumeTokens(
  view: LifecycleView,
  draft: RequestDraft,
  account: QuotaAccountId,
  request: AdmittedRequest,
  now: TurnTime,
): Omit<QuotaRequest, 'set' | 'epoch'> {
  const state = readUsageState(view, draft, account, now);
  const tokens = readQuotaTokens(request);
  const sequence = state.sequence + 1;
  const slices = addToWindow(state.slices, now.monotonic, tokens);
  // Quota requests report no unused prepaid tokens, so these are dropped.
  draft.putQuota(account, {
    ...state,
    sequence,
    slices,
    prepaid: NO_PREPAID_TOKENS,
    unanswered: state.unanswered ?? {sequence, requestedAt: now.monotonic},
  });
  return {
    account,
    sequence,
    request: request.id,
    rank: request.rank,
    tokens,
    used: toReportedUsage(slices, now),
    coversMs: computeCoveredMs(view.board.startedAt, now),
  };
}

/** Takes back the charge of a request that the account does not cover. */
export function releaseCharge(
  view: LifecycleView,
  draft: RequestDraft,
  account: QuotaAccountId,
  request: AdmittedRequest,
  chargedAt: MonotonicTime,
  now: TurnTime,
): void {
  const state = readUsageState(view, draft, account, now);
  const tokens = readQuotaTokens(request);
  const slices = addToWindow(state.slices, chargedAt, -tokens);
  draft.putQuota(account, {...state, slices});
}

/**
 * Records how long a decision took, and stores the prepaid tokens that it grants
 * to this entry. `asked` is the open request that it answers, if there is one.
 */
export function recordDecision(
  view: LifecycleView,
  draft: RequestDraft,
  {account, sequence, spareTokens}: QuotaDecision,
  asked: AskedQuotaOwner | undefined,
  now: TurnTime,
): void {
  const state = readUsageState(view, draft, account, now);
  const {unanswered} = state;
  const isEarliest = unanswered?.sequence === sequence;
  const requestedAt =
    asked?.requestedAt ?? (isEarliest ? unanswered.requestedAt : undefined);
  draft.putQuota(account, {
    ...state,
    unanswered:
      unanswered !== null && sequence >= unanswered.sequence
        ? null
        : unanswered,
    roundTripMs:
      requestedAt === undefined
        ? state.roundTripMs
        : mixRoundTrip(state.roundTripMs, now.monotonic - requestedAt),
    // The owner no longer counts tokens that it granted before a later quota
    // request. The lifetime starts when the quota request is sent, so the tokens
    // expire here before they expire at the owner.
    prepaid:
      requestedAt === undefined || sequence !== state.sequence
        ? state.prepaid
        : {tokens: spareTokens, until: requestedAt + PREPAID_LIFETIME_MS},
  });
}

/** Reads this entry's use of an account within the window. */
export function readUsageState(
  view: LifecycleView,
  draft: RequestDraft,
  account: QuotaAccountId,
  now: TurnTime,
): QuotaUsageState {
  const state = draft.readQuota(account);
  if (state === undefined) {
    return {
      sequence: now.wall.getTime(),
      slices: [],
      prepaid: NO_PREPAID_TOKENS,
      unanswered: null,
      roundTripMs: null,
    };
  }
  const since = now.monotonic - readTolerance(view).windowMs;
  return {...state, slices: removeExpiredSlices(state.slices, since)};
}

function readTolerance({board}: LifecycleView): QuotaTolerance {
  return readSharedBounds(board.identity).allotmentTolerance;
}
