/**
 * Charges requests against the token quota of their organisation, which all
 * entries share. One entry, the quota owner, decides for each organisation;
 * while it is silent, an entry decides by its own fallback quota.
 */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {SetLeadership, TokenQuota} from '@gentianshunt/configuration';
import {
  findEntryAddress,
  readSharedBounds,
  refuseNotRun,
} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  OpenQuotaRequest,
  PrepaidTokens,
  QuotaDecision,
  QuotaRequest,
  QuotaTolerance,
  QuotaUsageState,
} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import {
  addToWindow,
  removeExpiredSlices,
  sumWindow,
} from '@gentianshunt/limits';
import {
  computeCoveredMs,
  computeFallbackTokens,
  computeWindowTokens,
  findQuotaOwner,
  PREPAID_LIFETIME_MS,
  toReportedUsage,
} from '@gentianshunt/quotas';

import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Time without a decision after which the fallback quota decides. */
export const QUOTA_DECISION_TIMEOUT_MS: Milliseconds = 100;
/** How long no quota requests are sent to an owner that did not answer. */
export const SILENT_OWNER_PAUSE_MS: Milliseconds = 500;
/** Longest wait for the quota, as a fraction of the request's objective. */
export const MAX_QUOTA_WAIT_FRACTION = 0.5;
/** Retry delay for callers that are refused by the fallback quota. */
const FALLBACK_RETRY_AFTER_MS: Milliseconds = 1_000;

const NO_PREPAID_TOKENS: PrepaidTokens = {
  tokens: 0,
  until: Number.NEGATIVE_INFINITY,
};

/** Returns whether a request counts against a token quota. */
export function hasQuota(
  view: LifecycleView,
  {organisation, routePolicy}: AdmittedRequest,
): boolean {
  return routePolicy !== undefined && findQuota(view, organisation) !== null;
}

/**
 * Charges a request to the quota of its organisation. It is enqueued at once
 * if the prepaid tokens cover it; otherwise the quota owner decides.
 */
export function consumeQuota(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const {organisation} = request;
  const tokens = readQuotaTokens(request);
  const state = readQuotaState(view, draft, organisation, now);
  const {prepaid} = state;
  const charged = addCharge(state, request, now);
  if (prepaid.until > now.monotonic && prepaid.tokens >= tokens) {
    const remaining = {...prepaid, tokens: prepaid.tokens - tokens};
    draft.putQuota(organisation, {...charged, prepaid: remaining});
    draft.move({kind: 'waiting', request});
    return;
  }
  draft.putQuota(organisation, charged);
  draft.move({kind: 'awaitingAllotment', request});
  requestQuota(view, draft, request, now);
}

/**
 * Applies the decision of a quota owner: enqueues the request, schedules the
 * next quota request, or refuses the caller if that would come too late.
 */
export function handleQuotaDecision(
  view: LifecycleView,
  draft: RequestDraft,
  decision: QuotaDecision,
  now: TurnTime,
): void {
  addPrepaidTokens(view, draft, decision, now);
  const openRequest = view.board.openQuotaRequests.get(decision.request);
  const state = draft.read(decision.request);
  if (openRequest === undefined || state?.kind !== 'awaitingAllotment') {
    return;
  }
  const {request} = state;
  if (decision.isCovered) {
    draft.move({kind: 'waiting', request});
    return;
  }
  removeCharge(view, draft, request, openRequest.requestedAt, now);
  const {retryAfterMs} = decision;
  const waitedMs = now.monotonic - request.arrivedAt;
  const objectiveMs = request.routePolicy?.objectiveMs ?? 0;
  if (waitedMs + retryAfterMs <= MAX_QUOTA_WAIT_FRACTION * objectiveMs) {
    const nextRequestAt = now.monotonic + retryAfterMs;
    draft.putOpenQuotaRequest({...openRequest, retryAt: nextRequestAt});
    scheduleTimer(view, draft, nextRequestAt, now);
    return;
  }
  const {usedTokens, limitTokens} = decision;
  const details = {decidedBy: openRequest.owner, usedTokens, limitTokens};
  refuse(view, draft, request, {...details, retryAfterMs}, now);
}

/**
 * Checks the requests that wait for a quota decision: sends the next quota
 * request for those whose delay has passed, and decides by the fallback quota
 * if the owner did not answer in time.
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
    const {request} = state;
    if (dueAt > now.monotonic) {
      scheduleTimer(view, draft, dueAt, now);
    } else if (openRequest.retryAt === null) {
      const until = now.monotonic + SILENT_OWNER_PAUSE_MS;
      draft.putSilentOwner(openRequest.owner, until);
      decideByFallbackQuota(view, draft, request, openRequest.requestedAt, now);
    } else {
      const before = readQuotaState(view, draft, request.organisation, now);
      const charged = addCharge(before, request, now);
      draft.putQuota(request.organisation, charged);
      requestQuota(view, draft, request, now);
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

/**
 * Sends a quota request for a request whose tokens are already charged. If the
 * owner is unknown or silent, the fallback quota decides.
 */
function requestQuota(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const {control, configuration, silentQuotaOwners} = view.board;
  const {organisation, id} = request;
  const owner = findQuotaOwner(configuration, organisation);
  const address = owner && findEntryAddress(control.directory, owner.node);
  const silentUntil =
    (owner && silentQuotaOwners.get(owner.node)) ?? Number.NEGATIVE_INFINITY;
  if (
    owner === undefined ||
    address === undefined ||
    silentUntil > now.monotonic
  ) {
    decideByFallbackQuota(view, draft, request, now.monotonic, now);
    return;
  }
  draft.putOpenQuotaRequest({
    request: id,
    organisation,
    owner: owner.node,
    requestedAt: now.monotonic,
    retryAt: null,
  });
  draft.addEffect({
    kind: 'sendEntry',
    to: owner.node,
    address,
    message: {
      kind: 'allotmentAsk',
      ask: createQuotaRequest(view, draft, request, owner, now),
    },
  });
  scheduleTimer(view, draft, now.monotonic + QUOTA_DECISION_TIMEOUT_MS, now);
}

function createQuotaRequest(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  owner: SetLeadership,
  now: TurnTime,
): QuotaRequest {
  const {organisation, id, rank} = request;
  const state = readQuotaState(view, draft, organisation, now);
  const sequence = state.sequence + 1;
  // Quota requests report no unused prepaid tokens, so these are dropped.
  draft.putQuota(organisation, {
    ...state,
    sequence,
    prepaid: NO_PREPAID_TOKENS,
  });
  return {
    organisation,
    set: owner.id,
    epoch: owner.epoch,
    sequence,
    request: id,
    rank,
    tokens: readQuotaTokens(request),
    used: toReportedUsage(state.slices, now),
    coversMs: computeCoveredMs(view.board.startedAt, now),
  };
}

/**
 * Decides without the quota owner, by the fallback quota of this entry. It is
 * an equal fraction of the quota for each entry.
 */
function decideByFallbackQuota(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  chargedAt: MonotonicTime,
  now: TurnTime,
): void {
  const {board} = view;
  const {organisation} = request;
  const quota = findQuota(view, organisation);
  const entryCount = Math.max(1, board.control.directory.entries.length);
  const windowTokens =
    quota === null
      ? Number.POSITIVE_INFINITY
      : computeWindowTokens(quota, readTolerance(view));
  const limitTokens = computeFallbackTokens(windowTokens, entryCount);
  const state = readQuotaState(view, draft, organisation, now);
  const usedTokens = sumWindow(state.slices);
  const isCovered =
    usedTokens <= limitTokens ||
    (usedTokens === readQuotaTokens(request) &&
      isSelectedInWindow(view, request, limitTokens, now));
  if (isCovered) {
    draft.move({kind: 'waiting', request});
    return;
  }
  removeCharge(view, draft, request, chargedAt, now);
  const retryAfterMs = FALLBACK_RETRY_AFTER_MS;
  const decidedBy = board.identity.address.node;
  const details = {decidedBy, usedTokens, limitTokens, retryAfterMs};
  refuse(view, draft, request, details, now);
}

/**
 * Returns whether this entry may admit one request that is larger than its
 * fallback quota in the current window. A hash selects about as many entries
 * in each window as the fallback quotas of all entries cover.
 */
function isSelectedInWindow(
  view: LifecycleView,
  request: AdmittedRequest,
  fallbackTokens: number,
  now: TurnTime,
): boolean {
  const {windowMs} = readTolerance(view);
  const {node} = view.board.identity.address;
  const windowIndex = Math.floor(now.wall.getTime() / windowMs);
  const key = `${node}/${request.organisation}/${windowIndex}`;
  return hashToFraction(key) < fallbackTokens / readQuotaTokens(request);
}

/** The entry that refused a request, and the figures that it decided on. */
interface QuotaRefusal {
  readonly decidedBy: NodeId;
  readonly usedTokens: number;
  readonly limitTokens: number;
  readonly retryAfterMs: Milliseconds;
}

function refuse(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  details: QuotaRefusal,
  now: TurnTime,
): void {
  const state = {kind: 'awaitingAllotment', request} as const;
  const reason = {kind: 'allotmentUsed'} as const;
  const refusal = refuseNotRun(state, reason, details.retryAfterMs);
  draft.addEffect({
    kind: 'logDecision',
    decision: {
      kind: 'allotmentRefused',
      request: request.id,
      organisation: request.organisation,
      tokens: readQuotaTokens(request),
      ...details,
      configurationVersion: view.board.control.version,
    },
  });
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/** Stores the prepaid tokens that a decision grants to this entry. */
function addPrepaidTokens(
  view: LifecycleView,
  draft: RequestDraft,
  {organisation, request, sequence, spareTokens}: QuotaDecision,
  now: TurnTime,
): void {
  const state = readQuotaState(view, draft, organisation, now);
  const requestedAt = view.board.openQuotaRequests.get(request)?.requestedAt;
  // The owner no longer counts tokens that it granted before a later quota
  // request.
  if (requestedAt === undefined || sequence !== state.sequence) {
    return;
  }
  // The lifetime starts when the quota request is sent, so the tokens expire
  // here before they expire at the owner.
  const prepaid = {
    tokens: spareTokens,
    until: requestedAt + PREPAID_LIFETIME_MS,
  };
  draft.putQuota(organisation, {...state, prepaid});
}

/** Takes back the charge of a refused request, which used no tokens. */
function removeCharge(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  chargedAt: MonotonicTime,
  now: TurnTime,
): void {
  const {organisation} = request;
  const state = readQuotaState(view, draft, organisation, now);
  const slices = addToWindow(
    state.slices,
    chargedAt,
    -readQuotaTokens(request),
  );
  draft.putQuota(organisation, {...state, slices});
}

/** Counts the tokens of a request as used now. */
function addCharge(
  state: QuotaUsageState,
  request: AdmittedRequest,
  now: TurnTime,
): QuotaUsageState {
  const tokens = readQuotaTokens(request);
  const slices = addToWindow(state.slices, now.monotonic, tokens);
  return {...state, slices};
}

/** Reads this entry's use of a quota within the window. */
function readQuotaState(
  view: LifecycleView,
  draft: RequestDraft,
  organisation: OrganisationId,
  now: TurnTime,
): QuotaUsageState {
  const state = draft.readQuota(organisation);
  if (state === undefined) {
    return {
      sequence: now.wall.getTime(),
      slices: [],
      prepaid: NO_PREPAID_TOKENS,
    };
  }
  const since = now.monotonic - readTolerance(view).windowMs;
  return {...state, slices: removeExpiredSlices(state.slices, since)};
}

function readTolerance({board}: LifecycleView): QuotaTolerance {
  return readSharedBounds(board.identity).allotmentTolerance;
}

function readQuotaTokens({routePolicy}: AdmittedRequest): number {
  return routePolicy?.quotaTokens ?? 0;
}

function findQuota(
  {board}: LifecycleView,
  organisation: OrganisationId,
): TokenQuota | null {
  const found = findObject(board.configuration, 'organisation', organisation);
  return found?.limits.tokens ?? null;
}
