/** An entry's use of token allotments, which other entries use as well. */
import {
  findKeeper,
  readCoveredMs,
  readUnkeptTokens,
  readWindowTokens,
  SPARE_LIFETIME_MS,
  toReportedUses,
} from '@gentianshunt/allotments';
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {SetLeadership, TokenAllotment} from '@gentianshunt/configuration';
import {
  findEntryAddress,
  readSharedBounds,
  refuseNotRun,
} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  AllotmentAsk,
  AllotmentState,
  AllotmentTolerance,
  AllotmentVerdict,
  OpenAsk,
  SpareTokens,
} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import {addToWindow, dropLapsed, sumWindow} from '@gentianshunt/limits';

import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Time without a verdict after which an entry goes on with its own part. */
export const KEEPER_SILENCE_MS: Milliseconds = 100;
/** How long a silent keeper is not asked. */
export const KEEPER_PAUSE_MS: Milliseconds = 500;
/** Part of its objective that a request waits for its allotment. */
export const ALLOTMENT_WAIT_PART = 0.5;
/** When callers may try again whom an entry has refused by itself. */
const UNKEPT_RETRY_AFTER_MS: Milliseconds = 1_000;

const NO_SPARE: SpareTokens = {tokens: 0, until: Number.NEGATIVE_INFINITY};

/** Tells whether a request counts against an allotment. */
export function isAllotted(
  view: LifecycleView,
  {organisation, terms}: AdmittedRequest,
): boolean {
  return terms !== undefined && findTokens(view, organisation) !== null;
}

/** Takes a request out of the allotment of its organisation. */
export function spendAllotment(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const {organisation} = request;
  const tokens = readTokens(request);
  const state = readState(view, draft, organisation, now);
  const {spare} = state;
  const next = addUse(state, request, now);
  if (spare.until > now.monotonic && spare.tokens >= tokens) {
    const left = {...spare, tokens: spare.tokens - tokens};
    draft.putAllotment(organisation, {...next, spare: left});
    draft.move({kind: 'waiting', request});
    return;
  }
  draft.putAllotment(organisation, next);
  draft.move({kind: 'awaitingAllotment', request});
  askKeeper(view, draft, request, now);
}

/** Acts on what the keeper of an allotment decided. */
export function handleVerdict(
  view: LifecycleView,
  draft: RequestDraft,
  verdict: AllotmentVerdict,
  now: TurnTime,
): void {
  addSpare(view, draft, verdict, now);
  const open = view.board.openAsks.get(verdict.request);
  const state = draft.read(verdict.request);
  if (open === undefined || state?.kind !== 'awaitingAllotment') {
    return;
  }
  const {request} = state;
  if (verdict.isCovered) {
    draft.move({kind: 'waiting', request});
    return;
  }
  returnUse(view, draft, request, open.askedAt, now);
  const {retryAfterMs} = verdict;
  const waitedMs = now.monotonic - request.arrivedAt;
  const objectiveMs = request.terms?.objectiveMs ?? 0;
  if (waitedMs + retryAfterMs <= ALLOTMENT_WAIT_PART * objectiveMs) {
    const askAgainAt = now.monotonic + retryAfterMs;
    draft.putOpenAsk({...open, askAgainAt});
    setTimer(view, draft, askAgainAt, now);
    return;
  }
  const {usedTokens, limitTokens} = verdict;
  const decided = {decidedBy: open.keeper, usedTokens, limitTokens};
  refuse(view, draft, request, {...decided, retryAfterMs}, now);
}

/** Looks at the requests that wait for an allotment. */
export function handleOpenAsks(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const open of [...view.board.openAsks.values()]) {
    const state = draft.read(open.request);
    if (state?.kind !== 'awaitingAllotment') {
      continue;
    }
    const dueAt = readDueAt(open);
    const {request} = state;
    if (dueAt > now.monotonic) {
      setTimer(view, draft, dueAt, now);
    } else if (open.askAgainAt === null) {
      const until = now.monotonic + KEEPER_PAUSE_MS;
      draft.putSilentKeeper(open.keeper, until);
      decideAlone(view, draft, request, open.askedAt, now);
    } else {
      const charged = readState(view, draft, request.organisation, now);
      const next = addUse(charged, request, now);
      draft.putAllotment(request.organisation, next);
      askKeeper(view, draft, request, now);
    }
  }
}

function readDueAt({askAgainAt, askedAt}: OpenAsk): MonotonicTime {
  return askAgainAt ?? askedAt + KEEPER_SILENCE_MS;
}

/** There is one timer for all open asks; it runs for the earliest. */
function setTimer(
  view: LifecycleView,
  draft: RequestDraft,
  dueAt: MonotonicTime,
  now: TurnTime,
): void {
  const others = [...view.board.openAsks.values()]
    .map(readDueAt)
    .filter(due => due > now.monotonic);
  const delayMs = Math.min(dueAt, ...others) - now.monotonic;
  draft.order({kind: 'setTimer', timer: {kind: 'allotments'}, delayMs});
}

/** Asks for a request whose tokens are counted as used already. */
function askKeeper(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const {control, configuration, silentKeepers} = view.board;
  const {organisation, id} = request;
  const keeper = findKeeper(configuration, organisation);
  const address = keeper && findEntryAddress(control.directory, keeper.node);
  const silentUntil =
    (keeper && silentKeepers.get(keeper.node)) ?? Number.NEGATIVE_INFINITY;
  if (
    keeper === undefined ||
    address === undefined ||
    silentUntil > now.monotonic
  ) {
    decideAlone(view, draft, request, now.monotonic, now);
    return;
  }
  draft.putOpenAsk({
    request: id,
    organisation,
    keeper: keeper.node,
    askedAt: now.monotonic,
    askAgainAt: null,
  });
  draft.order({
    kind: 'sendEntry',
    to: keeper.node,
    address,
    message: {
      kind: 'allotmentAsk',
      ask: createAsk(view, draft, request, keeper, now),
    },
  });
  setTimer(view, draft, now.monotonic + KEEPER_SILENCE_MS, now);
}

function createAsk(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  keeper: SetLeadership,
  now: TurnTime,
): AllotmentAsk {
  const {organisation, id, rank} = request;
  const state = readState(view, draft, organisation, now);
  const sequence = state.sequence + 1;
  // What is left of the spare tokens is not told, so it is given up.
  draft.putAllotment(organisation, {...state, sequence, spare: NO_SPARE});
  return {
    organisation,
    set: keeper.id,
    epoch: keeper.epoch,
    sequence,
    request: id,
    rank,
    tokens: readTokens(request),
    used: toReportedUses(state.slices, now),
    coversMs: readCoveredMs(view.board.startedAt, now),
  };
}

/** Without a keeper, each entry has an equal part of the allotment. */
function decideAlone(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  chargedAt: MonotonicTime,
  now: TurnTime,
): void {
  const {board} = view;
  const {organisation} = request;
  const tokens = findTokens(view, organisation);
  const entries = Math.max(1, board.control.directory.entries.length);
  const total =
    tokens === null
      ? Number.POSITIVE_INFINITY
      : readWindowTokens(tokens, readTolerance(view));
  const limitTokens = readUnkeptTokens(total, entries);
  const state = readState(view, draft, organisation, now);
  const usedTokens = sumWindow(state.slices);
  const isCovered =
    usedTokens <= limitTokens ||
    (usedTokens === readTokens(request) &&
      isPicked(view, request, limitTokens, now));
  if (isCovered) {
    draft.move({kind: 'waiting', request});
    return;
  }
  returnUse(view, draft, request, chargedAt, now);
  const retryAfterMs = UNKEPT_RETRY_AFTER_MS;
  const decidedBy = board.identity.address.node;
  const decided = {decidedBy, usedTokens, limitTokens, retryAfterMs};
  refuse(view, draft, request, decided, now);
}

/**
 * Where a part is smaller than a request, as many entries take one in a window
 * as the parts of all cover.
 */
function isPicked(
  view: LifecycleView,
  request: AdmittedRequest,
  part: number,
  now: TurnTime,
): boolean {
  const {windowMs} = readTolerance(view);
  const {node} = view.board.identity.address;
  const window = Math.floor(now.wall.getTime() / windowMs);
  const key = `${node}/${request.organisation}/${window}`;
  return hashToFraction(key) < part / readTokens(request);
}

/** Who refused a request, and by which figures. */
interface AllotmentRefusal {
  readonly decidedBy: NodeId;
  readonly usedTokens: number;
  readonly limitTokens: number;
  readonly retryAfterMs: Milliseconds;
}

function refuse(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  decided: AllotmentRefusal,
  now: TurnTime,
): void {
  const state = {kind: 'awaitingAllotment', request} as const;
  const reason = {kind: 'allotmentUsed'} as const;
  const refusal = refuseNotRun(state, reason, decided.retryAfterMs);
  draft.order({
    kind: 'tell',
    decision: {
      kind: 'allotmentRefused',
      request: request.id,
      organisation: request.organisation,
      tokens: readTokens(request),
      ...decided,
      configurationVersion: view.board.control.version,
    },
  });
  draft.order({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

function addSpare(
  view: LifecycleView,
  draft: RequestDraft,
  {organisation, request, sequence, spareTokens}: AllotmentVerdict,
  now: TurnTime,
): void {
  const state = readState(view, draft, organisation, now);
  const askedAt = view.board.openAsks.get(request)?.askedAt;
  // The keeper forgets what it gave before a later ask.
  if (askedAt === undefined || sequence !== state.sequence) {
    return;
  }
  // Counted from the sending, it ends before the keeper believes it does.
  const spare = {tokens: spareTokens, until: askedAt + SPARE_LIFETIME_MS};
  draft.putAllotment(organisation, {...state, spare});
}

/** A refused request has used nothing. */
function returnUse(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  chargedAt: MonotonicTime,
  now: TurnTime,
): void {
  const {organisation} = request;
  const state = readState(view, draft, organisation, now);
  const slices = addToWindow(state.slices, chargedAt, -readTokens(request));
  draft.putAllotment(organisation, {...state, slices});
}

function addUse(
  state: AllotmentState,
  request: AdmittedRequest,
  now: TurnTime,
): AllotmentState {
  const tokens = readTokens(request);
  const slices = addToWindow(state.slices, now.monotonic, tokens);
  return {...state, slices};
}

/** Reads the use within the window. */
function readState(
  view: LifecycleView,
  draft: RequestDraft,
  organisation: OrganisationId,
  now: TurnTime,
): AllotmentState {
  const state = draft.readAllotment(organisation);
  if (state === undefined) {
    return {sequence: now.wall.getTime(), slices: [], spare: NO_SPARE};
  }
  const since = now.monotonic - readTolerance(view).windowMs;
  return {...state, slices: dropLapsed(state.slices, since)};
}

function readTolerance({board}: LifecycleView): AllotmentTolerance {
  return readSharedBounds(board.identity).allotmentTolerance;
}

function readTokens({terms}: AdmittedRequest): number {
  return terms?.allotmentTokens ?? 0;
}

function findTokens(
  {board}: LifecycleView,
  organisation: OrganisationId,
): TokenAllotment | null {
  const owner = findObject(board.configuration, 'organisation', organisation);
  return owner?.limits.tokens ?? null;
}
