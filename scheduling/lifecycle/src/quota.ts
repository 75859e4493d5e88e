/**
 * Charges requests against the token quota of their organisation, which all
 * entries share. A quota is divided into accounts, each with an owner that
 * decides. If one does not cover a request, the next is asked; if one is late,
 * the next is asked beside it.
 */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {
  AdmittedRequest,
  AskedQuotaOwner,
  OpenQuotaRequest,
  QuotaDecision,
  QuotaDenial,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {QuotaAccountId} from '@gentianshunt/identifiers';
import {findQuotaOwner} from '@gentianshunt/quotas';

import {NOBODY_ASKED, queryNextOwner, sortAccounts} from './quotaInquiry.js';
import type {QuotaInquiry} from './quotaInquiry.js';
import {findShortestWait, refuseUncovered} from './quotaRefusal.js';
import {
  recordDecision,
  releaseCharge,
  spendPrepaidTokens,
} from './quotaUsage.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** How long no quota requests are sent to an owner that did not answer. */
export const SILENT_OWNER_PAUSE_MS: Milliseconds = 500;
/** Longest wait for the quota, as a fraction of the request's objective. */
export const MAX_QUOTA_WAIT_FRACTION = 0.5;

/** Returns whether a request counts against a token quota. */
export function hasQuota(
  {board}: LifecycleView,
  {organisation, routePolicy}: AdmittedRequest,
): boolean {
  const {configuration} = board;
  const limits = findObject(
    configuration,
    'organisation',
    organisation,
  )?.limits;
  return routePolicy !== undefined && (limits?.tokens ?? null) !== null;
}

/**
 * Charges a request to the quota of its organisation. It is enqueued at once
 * if prepaid tokens cover it; otherwise the owners of the accounts decide.
 */
export function consumeQuota(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const isPrepaid = sortAccounts(view, request.organisation).some(account =>
    spendPrepaidTokens(view, draft, account, request, now),
  );
  if (isPrepaid) {
    draft.move({kind: 'waiting', request});
    return;
  }
  draft.move({kind: 'awaitingAllotment', request});
  requestQuota(view, draft, request, NOBODY_ASKED, now);
}

/**
 * Applies the decision of a quota owner, whenever it comes: it says how long
 * decisions take and may bring prepaid tokens, even if its request has ended.
 */
export function handleQuotaDecision(
  view: LifecycleView,
  draft: RequestDraft,
  decision: QuotaDecision,
  now: TurnTime,
): void {
  const {account, request} = decision;
  const openRequest = view.board.openQuotaRequests.get(request);
  const asked = openRequest?.kind === 'asking' ? openRequest.asked : [];
  const decided = asked.find(each => each.account === account);
  recordDecision(view, draft, decision, decided, now);
  endSilence(view, draft, account);
  const state = draft.read(request);
  if (
    openRequest?.kind !== 'asking' ||
    decided === undefined ||
    state?.kind !== 'awaitingAllotment'
  ) {
    return;
  }
  const others = asked.filter(each => each !== decided);
  if (decision.isCovered) {
    releaseCharges(view, draft, state.request, others, now);
    draft.move({kind: 'waiting', request: state.request});
    return;
  }
  releaseCharges(view, draft, state.request, [decided], now);
  const {usedTokens, limitTokens, retryAfterMs} = decision;
  const {owner} = decided;
  const denial = {account, owner, usedTokens, limitTokens, retryAfterMs};
  const denials = [...openRequest.denials, denial];
  requestQuota(view, draft, state.request, {asked: others, denials}, now);
}

/** Asks an owner again at once after it was silent. */
function endSilence(
  {board}: LifecycleView,
  draft: RequestDraft,
  account: QuotaAccountId,
): void {
  const owner = findQuotaOwner(board.configuration, account);
  if (owner !== undefined && board.silentQuotaOwners.has(owner.node)) {
    draft.removeSilentOwner(owner.node);
  }
}

/** Takes back what a request was charged on accounts that do not cover it. */
function releaseCharges(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  asked: readonly AskedQuotaOwner[],
  now: TurnTime,
): void {
  for (const {account, requestedAt} of asked) {
    releaseCharge(view, draft, account, request, requestedAt, now);
  }
}

/**
 * Checks the requests that wait for a quota decision: asks again for those
 * whose delay has passed, and asks the next owner beside one that is late.
 */
export function handleOpenQuotaRequests(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const openRequest of [...view.board.openQuotaRequests.values()]) {
    const state = draft.read(openRequest.request);
    if (state?.kind !== 'awaitingAllotment') {
      continue;
    }
    const dueAt = readDueTime(openRequest);
    if (dueAt > now.monotonic) {
      scheduleTimer(view, draft, dueAt, now);
      continue;
    }
    switch (openRequest.kind) {
      case 'asking':
        for (const {owner} of openRequest.asked) {
          draft.putSilentOwner(owner, now.monotonic + SILENT_OWNER_PAUSE_MS);
        }
        requestQuota(view, draft, state.request, openRequest, now);
        break;
      case 'deferred':
        requestQuota(view, draft, state.request, NOBODY_ASKED, now);
        break;
      default:
        assertNever(openRequest, 'handleOpenQuotaRequests');
    }
  }
}

/** Reads when a request that waits for a quota decision is to be checked. */
function readDueTime(openRequest: OpenQuotaRequest): MonotonicTime {
  switch (openRequest.kind) {
    case 'asking':
      return Math.max(...openRequest.asked.map(({lateAt}) => lateAt));
    case 'deferred':
      return openRequest.retryAt;
    default:
      return assertNever(openRequest, 'readDueTime');
  }
}

/** Sets the one timer of all open quota requests for the earliest of them. */
function scheduleTimer(
  view: LifecycleView,
  draft: RequestDraft,
  dueAt: MonotonicTime,
  now: TurnTime,
): void {
  const others = [...view.board.openQuotaRequests.values()]
    .map(readDueTime)
    .filter(due => due > now.monotonic);
  const delayMs = Math.min(dueAt, ...others) - now.monotonic;
  draft.addEffect({kind: 'setTimer', timer: {kind: 'quotaRequests'}, delayMs});
}

/**
 * Waits for an owner that is not late; otherwise asks the owner of the first
 * account that was not asked, beside those that are late. Decides without them
 * if there is none.
 */
function requestQuota(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  {asked, denials}: QuotaInquiry,
  now: TurnTime,
): void {
  const awaited = asked.some(({lateAt}) => lateAt > now.monotonic)
    ? asked
    : [
        ...asked,
        ...queryNextOwner(view, draft, request, {asked, denials}, now),
      ];
  if (awaited.every(({lateAt}) => lateAt <= now.monotonic)) {
    releaseCharges(view, draft, request, asked, now);
    resolveDenials(view, draft, request, denials, now);
    return;
  }
  const openRequest = {
    kind: 'asking',
    request: request.id,
    asked: awaited,
    denials,
  } as const;
  draft.putOpenQuotaRequest(openRequest);
  scheduleTimer(view, draft, readDueTime(openRequest), now);
}

/**
 * Lets a request that no account covers wait if tokens become available
 * shortly; otherwise refuses it.
 */
function resolveDenials(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  denials: readonly QuotaDenial[],
  now: TurnTime,
): void {
  const denial = findShortestWait(denials);
  const waitedMs = now.monotonic - request.arrivedAt;
  const objectiveMs = request.routePolicy?.objectiveMs ?? 0;
  const retryAfterMs = denial?.retryAfterMs ?? Number.POSITIVE_INFINITY;
  if (
    denial === undefined ||
    waitedMs + retryAfterMs > MAX_QUOTA_WAIT_FRACTION * objectiveMs
  ) {
    refuseUncovered(view, draft, request, denial, now);
    return;
  }
  const retryAt = now.monotonic + retryAfterMs;
  draft.putOpenQuotaRequest({kind: 'deferred', request: request.id, retryAt});
  scheduleTimer(view, draft, retryAt, now);
}
