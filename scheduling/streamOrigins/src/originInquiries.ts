/** Finds out what began the streams that callers take up at this entry. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findEntryAddress} from '@gentianshunt/entryModel';
import type {
  EntryDecision,
  OriginInquiry,
  OriginMessage,
  OriginOutcome,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

import {
  listHolders,
  listPossibleHolders,
  listWitnesses,
} from './originKeepers.js';
import type {OriginDraft, OriginView} from './originView.js';
import {createVote, decideVerdict, listClaims} from './originVotes.js';

/** Longest wait for the entries that are asked, once one has answered. */
const INQUIRY_TIMEOUT_MS: Milliseconds = 300;
/** Longest wait for answers that suffice, once one has come. */
const QUORUM_TIMEOUT_MS: Milliseconds = 1_000;
/** Longest wait for the first answer; callers of streams wait longer. */
const FIRST_ANSWER_TIMEOUT_MS: Milliseconds = 2_000;

type OriginRequest = Extract<
  OriginMessage,
  {readonly kind: 'streamOriginRequested'}
>;
type OriginAnswer = Extract<
  OriginMessage,
  {readonly kind: 'streamOriginAnswered'}
>;

/** Starts inquiries for requests that wait for one, and drops those of others. */
export function startInquiries(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  for (const key of view.readChanges('requests')) {
    const request = key as RequestId;
    const state = view.board.requests.get(request);
    const isOpen = draft.inquiries.get(request) !== undefined;
    if (state?.kind === 'awaitingOrigin') {
      if (!isOpen) {
        startInquiry(view, draft, state.request, now);
      }
    } else if (isOpen) {
      draft.inquiries.delete(request);
    }
  }
}

type AwaitingRequest = Extract<
  ReturnType<OriginView['board']['requests']['get']>,
  {readonly kind: 'awaitingOrigin'}
>['request'];

function startInquiry(
  view: OriginView,
  draft: OriginDraft,
  {id, set, resumed}: AwaitingRequest,
  now: TurnTime,
): void {
  const attempt = resumed?.attempt ?? null;
  const asked = listHolders(view, attempt ?? id);
  const own = view.board.identity.address.node;
  const inquiry: OriginInquiry = {
    attempt,
    set,
    startedAt: now.monotonic,
    unanswered: asked.map(({node}) => node),
    votes: new Map([[own, createVote(view, draft, attempt, set, now)]]),
    holders: listPossibleHolders(view, draft, attempt ?? id, now).length,
    outcome: {kind: 'open'},
  };
  putInquiry(draft, id, resolveInquiry(inquiry, now), now);
  if (asked.length > 0) {
    queryHolders(view, draft, id, inquiry);
    draft.startTimer();
  }
}

function putInquiry(
  draft: OriginDraft,
  request: RequestId,
  inquiry: OriginInquiry,
  now: TurnTime,
): void {
  draft.inquiries.put(request, inquiry);
  if (inquiry.outcome.kind === 'unknown') {
    draft.log(describeUnknown(draft, request, inquiry, now));
  }
}

/** Asks the entries that have not answered. */
function queryHolders(
  {board}: OriginView,
  draft: OriginDraft,
  request: RequestId,
  {attempt, set, unanswered}: OriginInquiry,
): void {
  for (const node of unanswered) {
    const address = findEntryAddress(board.control.directory, node);
    if (address !== undefined) {
      draft.send(node, address, {
        kind: 'streamOriginRequested',
        request,
        attempt,
        set,
      });
    }
  }
}

/**
 * Ends an inquiry whose answers suffice, or that waits no longer. An entry that
 * nobody answers may be out of step, and knows nothing.
 */
function resolveInquiry(inquiry: OriginInquiry, now: TurnTime): OriginInquiry {
  return inquiry.outcome.kind === 'open'
    ? {...inquiry, outcome: decideOutcome(inquiry, now)}
    : inquiry;
}

function decideOutcome(inquiry: OriginInquiry, now: TurnTime): OriginOutcome {
  const {unanswered, startedAt} = inquiry;
  const isAnswered = hasAnswer(inquiry);
  const waitedMs = now.monotonic - startedAt;
  const verdict = decideVerdict(inquiry);
  switch (verdict.kind) {
    case 'unreported': {
      const {software} = verdict;
      if (isAnswered || unanswered.length === 0) {
        return {kind: 'found', origin: {software}};
      }
      break;
    }
    case 'only': {
      const {software} = verdict;
      const isSettled = isAnswered && waitedMs >= INQUIRY_TIMEOUT_MS;
      if (unanswered.length === 0 || isSettled) {
        return {kind: 'found', origin: {software}};
      }
      break;
    }
    case 'unknown':
      break;
    default:
      assertNever(verdict, 'decideOutcome');
  }
  const timeoutMs = isAnswered ? QUORUM_TIMEOUT_MS : FIRST_ANSWER_TIMEOUT_MS;
  return unanswered.length === 0 || waitedMs >= timeoutMs
    ? {kind: 'unknown'}
    : {kind: 'open'};
}

/** Returns whether another entry has answered: this one is in touch with others. */
function hasAnswer({votes}: OriginInquiry): boolean {
  return votes.size > 1;
}

/** Logs why an inquiry ended without an origin. */
function describeUnknown(
  draft: OriginDraft,
  request: RequestId,
  {attempt, set, votes, holders, unanswered, startedAt}: OriginInquiry,
  now: TurnTime,
): EntryDecision {
  const since = draft.seen.get(set)?.since ?? null;
  const all = [...votes.values()];
  const seen = all.flatMap(vote => vote.seen);
  return {
    kind: 'originNotFound',
    request,
    attempt,
    set,
    seen: [...new Set(seen)].map(software => software ?? ''),
    unreported: [...new Set(listClaims(all))].map(name => name ?? ''),
    keepers: all.filter(({isKeeper}) => isKeeper).length,
    holders,
    unanswered: unanswered.length,
    seenForMs: since === null ? null : now.monotonic - since,
    waitedMs: now.monotonic - startedAt,
  };
}

/** Tells another entry what this one knows of a stream. */
export function answerInquiry(
  view: OriginView,
  draft: OriginDraft,
  from: NodeId,
  {request, attempt, set}: OriginRequest,
  now: TurnTime,
): void {
  const address = findEntryAddress(view.board.control.directory, from);
  if (address === undefined) {
    return;
  }
  const known = attempt === null ? undefined : draft.origins.get(attempt);
  draft.send(from, address, {
    kind: 'streamOriginAnswered',
    request,
    origin: known?.set === set ? {software: known.software} : null,
    vote: createVote(view, draft, attempt, set, now),
  });
}

/** Adds what another entry knows to an inquiry. */
export function receiveAnswer(
  draft: OriginDraft,
  from: NodeId,
  {request, origin, vote}: OriginAnswer,
  now: TurnTime,
): void {
  const inquiry = draft.inquiries.get(request);
  if (inquiry?.outcome.kind !== 'open') {
    return;
  }
  const next: OriginInquiry = {
    ...inquiry,
    unanswered: inquiry.unanswered.filter(node => node !== from),
    votes: new Map([...inquiry.votes, [from, vote]]),
    outcome: origin === null ? inquiry.outcome : {kind: 'found', origin},
  };
  putInquiry(draft, request, resolveInquiry(next, now), now);
}

/**
 * Ends the inquiries that wait no longer, and asks again for the others: their
 * messages may have been lost with a link. Returns whether there are others.
 */
export function endInquiries(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): boolean {
  let hasOpen = false;
  for (const [request, inquiry] of view.board.originInquiries) {
    if (inquiry.outcome.kind !== 'open') {
      continue;
    }
    const next = resolveInquiry(addWitnesses(view, request, inquiry, now), now);
    putInquiry(draft, request, next, now);
    if (next.outcome.kind === 'open') {
      hasOpen = true;
      queryHolders(view, draft, request, next);
    }
  }
  return hasOpen;
}

/** Asks further entries if none has answered for a while. */
function addWitnesses(
  view: OriginView,
  request: RequestId,
  inquiry: OriginInquiry,
  now: TurnTime,
): OriginInquiry {
  const {attempt, startedAt, unanswered} = inquiry;
  const isLate = now.monotonic - startedAt >= INQUIRY_TIMEOUT_MS;
  if (hasAnswer(inquiry) || !isLate) {
    return inquiry;
  }
  const witnesses = listWitnesses(view, attempt ?? request);
  const nodes = witnesses.map(({node}) => node);
  const isAdded = nodes.every(node => unanswered.includes(node));
  return isAdded
    ? inquiry
    : {...inquiry, unanswered: [...new Set([...unanswered, ...nodes])]};
}
