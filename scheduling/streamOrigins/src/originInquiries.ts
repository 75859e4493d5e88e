/** Finds out what began the streams that callers take up at this entry. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findEntryAddress} from '@gentianshunt/entryModel';
import type {
  EntryDecision,
  EntryMessage,
  OriginInquiry,
} from '@gentianshunt/entryModel';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

import {listKeepers, listWitnesses} from './originKeepers.js';
import type {OriginDraft, OriginView} from './originView.js';
import {isComplete, listSeen} from './seenSoftware.js';

/** Longest wait for the entries that are asked, once one has answered. */
const INQUIRY_TIMEOUT_MS: Milliseconds = 300;
/** Longest wait for the first answer; callers of streams wait longer. */
const FIRST_ANSWER_TIMEOUT_MS: Milliseconds = 2_000;

type OriginRequest = Extract<
  EntryMessage,
  {readonly kind: 'streamOriginRequested'}
>;
type OriginAnswer = Extract<
  EntryMessage,
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
  const keepers = listKeepers(view, attempt ?? id);
  const seen = draft.seen.get(set);
  const inquiry: OriginInquiry = {
    attempt,
    set,
    startedAt: now.monotonic,
    unanswered: keepers.map(({node}) => node),
    isAnswered: false,
    seen: listSeen(seen, draft.memoryMs, now),
    isVouched: isComplete(seen, draft.memoryMs, now),
    outcome: {kind: 'open'},
  };
  putInquiry(draft, id, resolveInquiry(inquiry, now), now);
  if (keepers.length > 0) {
    queryKeepers(view, draft, id, inquiry);
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
function queryKeepers(
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
 * Ends an inquiry that has all answers, or waits no longer. Without a record, a
 * stream began at the only software of its set, if an entry vouches for that. One
 * that nobody answers may be out of step, and vouches for nothing.
 */
function resolveInquiry(inquiry: OriginInquiry, now: TurnTime): OriginInquiry {
  const {unanswered, startedAt, seen, isAnswered, outcome} = inquiry;
  const timeoutMs = isAnswered ? INQUIRY_TIMEOUT_MS : FIRST_ANSWER_TIMEOUT_MS;
  const isWaiting =
    unanswered.length > 0 && now.monotonic - startedAt < timeoutMs;
  const isInStep = isAnswered || unanswered.length === 0;
  const isVouched = inquiry.isVouched && isInStep;
  if (outcome.kind !== 'open' || isWaiting) {
    return inquiry;
  }
  const [software, ...others] = seen;
  const isSole = software !== undefined && others.length === 0;
  return {
    ...inquiry,
    outcome:
      isSole && isVouched
        ? {kind: 'found', origin: {software}}
        : {kind: 'unknown'},
  };
}

/** Logs why an inquiry ended without an origin. */
function describeUnknown(
  draft: OriginDraft,
  request: RequestId,
  {attempt, set, seen, isVouched, unanswered, startedAt}: OriginInquiry,
  now: TurnTime,
): EntryDecision {
  const since = draft.seen.get(set)?.since ?? null;
  return {
    kind: 'originNotFound',
    request,
    attempt,
    set,
    seen: seen.map(software => software ?? ''),
    isVouched,
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
  const seen = draft.seen.get(set);
  draft.send(from, address, {
    kind: 'streamOriginAnswered',
    request,
    origin: known?.set === set ? {software: known.software} : null,
    seen: listSeen(seen, draft.memoryMs, now),
    isVouched: isComplete(seen, draft.memoryMs, now),
  });
}

/** Adds what another entry knows to an inquiry. */
export function receiveAnswer(
  draft: OriginDraft,
  from: NodeId,
  {request, origin, seen, isVouched}: OriginAnswer,
  now: TurnTime,
): void {
  const inquiry = draft.inquiries.get(request);
  if (inquiry?.outcome.kind !== 'open') {
    return;
  }
  const next: OriginInquiry = {
    ...inquiry,
    unanswered: inquiry.unanswered.filter(node => node !== from),
    isAnswered: true,
    seen: [...new Set([...inquiry.seen, ...seen])],
    isVouched: inquiry.isVouched || isVouched,
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
    const next = resolveInquiry(addWitnesses(view, request, inquiry, now), now);
    if (next !== inquiry) {
      putInquiry(draft, request, next, now);
    }
    if (next.outcome.kind === 'open') {
      hasOpen = true;
      queryKeepers(view, draft, request, next);
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
  const {attempt, startedAt, isAnswered, unanswered} = inquiry;
  const isLate = now.monotonic - startedAt >= INQUIRY_TIMEOUT_MS;
  if (isAnswered || !isLate || inquiry.outcome.kind !== 'open') {
    return inquiry;
  }
  const witnesses = listWitnesses(view, attempt ?? request);
  const nodes = witnesses.map(({node}) => node);
  const isAdded = nodes.every(node => unanswered.includes(node));
  return isAdded
    ? inquiry
    : {...inquiry, unanswered: [...new Set([...unanswered, ...nodes])]};
}
