/**
 * Charges requests against the token quota of their organisation, which all
 * entries share. A quota is divided into accounts, each with an owner that
 * decides; if one does not cover a request or is silent, the next is asked.
 */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {findEntryAddress, listQuotaAccounts} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  OpenQuotaRequest,
  QuotaDecision,
  QuotaDenial,
} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {OrganisationId, QuotaAccountId} from '@gentianshunt/identifiers';
import {findQuotaOwner} from '@gentianshunt/quotas';

import {findShortestWait, refuseUncovered} from './quotaRefusal.js';
import {
  addPrepaidTokens,
  consumeTokens,
  releaseCharge,
  spendPrepaidTokens,
} from './quotaUsage.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Time without a decision after which the next account is asked. */
export const QUOTA_DECISION_TIMEOUT_MS: Milliseconds = 100;
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
  requestQuota(view, draft, request, [], now);
}

/**
 * Sorts the accounts of an organisation in the order in which this entry asks
 * them. The order differs between entries, which divides the work and the use.
 */
function sortAccounts(
  {board}: LifecycleView,
  organisation: OrganisationId,
): readonly QuotaAccountId[] {
  const {node} = board.identity.address;
  return sortByRendezvous(node, listQuotaAccounts(organisation), each => each);
}

/** Applies the decision of a quota owner about an open quota request. */
export function handleQuotaDecision(
  view: LifecycleView,
  draft: RequestDraft,
  decision: QuotaDecision,
  now: TurnTime,
): void {
  addPrepaidTokens(view, draft, decision, now);
  const openRequest = view.board.openQuotaRequests.get(decision.request);
  const state = draft.read(decision.request);
  const {account} = decision;
  if (
    openRequest?.account !== account ||
    openRequest.retryAt !== null ||
    state?.kind !== 'awaitingAllotment'
  ) {
    return;
  }
  if (decision.isCovered) {
    draft.move({kind: 'waiting', request: state.request});
    return;
  }
  const {usedTokens, limitTokens, retryAfterMs} = decision;
  const {owner} = openRequest;
  const details = {owner, usedTokens, limitTokens, retryAfterMs};
  const denial = {kind: 'used', account, ...details} as const;
  handleDenial(view, draft, state.request, openRequest, denial, now);
}

/** Takes back the charge and asks the next account. */
function handleDenial(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  {account, requestedAt, denials}: OpenQuotaRequest,
  denial: QuotaDenial,
  now: TurnTime,
): void {
  releaseCharge(view, draft, account, request, requestedAt, now);
  requestQuota(view, draft, request, [...denials, denial], now);
}

/**
 * Checks the requests that wait for a quota decision: asks again for those
 * whose delay has passed, and asks the next account if an owner did not answer
 * in time.
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
    } else if (openRequest.retryAt === null) {
      const {account, owner} = openRequest;
      draft.putSilentOwner(owner, now.monotonic + SILENT_OWNER_PAUSE_MS);
      const denial = {kind: 'ownerSilent', account} as const;
      handleDenial(view, draft, state.request, openRequest, denial, now);
    } else {
      requestQuota(view, draft, state.request, [], now);
    }
  }
}

function readDueTime({retryAt, requestedAt}: OpenQuotaRequest): MonotonicTime {
  return retryAt ?? requestedAt + QUOTA_DECISION_TIMEOUT_MS;
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

/** Asks the first account that has not denied the request and has an owner. */
function requestQuota(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  denials: readonly QuotaDenial[],
  now: TurnTime,
): void {
  const {configuration, control, silentQuotaOwners} = view.board;
  const asked = new Set(denials.map(({account}) => account));
  const passed: QuotaDenial[] = [...denials];
  for (const account of sortAccounts(view, request.organisation)) {
    if (asked.has(account)) {
      continue;
    }
    const owner = findQuotaOwner(configuration, account);
    const address = owner && findEntryAddress(control.directory, owner.node);
    const silentUntil =
      (owner && silentQuotaOwners.get(owner.node)) ?? Number.NEGATIVE_INFINITY;
    if (address === undefined || silentUntil > now.monotonic) {
      passed.push({kind: 'ownerSilent', account});
      continue;
    }
    const {node, id: set, epoch} = owner!;
    const charge = consumeTokens(view, draft, account, request, now);
    draft.putOpenQuotaRequest({
      request: request.id,
      account,
      owner: node,
      requestedAt: now.monotonic,
      denials: passed,
      retryAt: null,
    });
    const quotaRequest = {...charge, set, epoch};
    const message = {kind: 'quotaRequest', request: quotaRequest} as const;
    draft.addEffect({kind: 'sendEntry', to: node, address, message});
    const dueAt = now.monotonic + QUOTA_DECISION_TIMEOUT_MS;
    scheduleTimer(view, draft, dueAt, now);
    return;
  }
  resolveDenials(view, draft, request, passed, now);
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
  draft.putOpenQuotaRequest({
    request: request.id,
    account: denial.account,
    owner: denial.owner,
    requestedAt: now.monotonic,
    denials: [],
    retryAt,
  });
  scheduleTimer(view, draft, retryAt, now);
}
