/**
 * Lets an entry that may have missed leaves ask others before it dispatches: after
 * its start, after a lapse of its lease and after a pause of its process.
 */
import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import {listOtherEntries, measurePause} from '@gentianshunt/entryModel';
import type {
  CatchUpCause,
  EntryMessage,
  LeaveCatchUp,
} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {requestLeaves} from './withdrawalExchange.js';
import type {WithdrawalDraft} from './withdrawalDraft.js';
import {createExchangeTimer} from './withdrawalView.js';
import type {WithdrawalView, WithdrawalWrite} from './withdrawalView.js';

/** Longest time for which an entry waits for an answer. */
export const CATCH_UP_LIMIT_MS: Milliseconds = 600;
/**
 * Longest further pause that a wait outlasts: shorter than the time for which
 * endpoints go on after their leave, so that earlier requests still count.
 */
const MAX_OUTLASTED_PAUSE_MS: Milliseconds = 1_750;
/** Entries asked at once, and again others after each interval. */
const REQUESTED_ENTRIES = 3;
/** Time after which an entry that has not answered may be asked again. */
const REPEATED_REQUEST_MS: Milliseconds = 500;

type CatchingUp = Extract<LeaveCatchUp, {readonly kind: 'catchingUp'}>;

/** Starts to catch up if the process has stood still. */
export function checkPause(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const {observation, board} = view;
  const pausedMs = measurePause(board.processActivity, now);
  if (pausedMs > 0 && !isOutlasted(draft.readCatchUp(), pausedMs)) {
    startCatchUp(view, draft, 'pause', pausedMs, now);
  }
  const isTimer =
    observation?.kind === 'timerDue' &&
    observation.timer.kind === 'housekeeping';
  if (isTimer || pausedMs > 0) {
    draft.add(recordActivity(now));
  }
}

/** Returns whether a wait because of a pause goes on after a further one. */
function isOutlasted(state: LeaveCatchUp, pausedMs: Milliseconds): boolean {
  return (
    state.kind === 'catchingUp' &&
    state.cause === 'pause' &&
    pausedMs < MAX_OUTLASTED_PAUSE_MS
  );
}

function recordActivity({monotonic, wall}: TurnTime): WithdrawalWrite {
  return {
    kind: 'set',
    section: 'processActivity',
    value: {checkedAt: monotonic, wallTime: wall},
  };
}

/** Starts to catch up if the lease had lapsed before it was renewed. */
export function checkLease(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const {lease} = view.board.control;
  const before = draft.readExchange().lease;
  if (lease === before) {
    return;
  }
  draft.putExchange({...draft.readExchange(), lease});
  if (!isLeaseValid(before, now) && isLeaseValid(lease, now)) {
    startCatchUp(view, draft, 'lease', 0, now);
  }
}

/** Starts to catch up when the process starts; it can ask nobody yet. */
export function startAfterStart(draft: WithdrawalDraft, now: TurnTime): void {
  draft.add(recordActivity(now));
  draft.setCatchUp({
    kind: 'catchingUp',
    cause: 'start',
    since: Number.POSITIVE_INFINITY,
    firstRequest: 0,
    pausedMs: 0,
    asked: [],
  });
}

function startCatchUp(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  cause: CatchUpCause,
  pausedMs: Milliseconds,
  now: TurnTime,
): void {
  const before = draft.readCatchUp();
  const isStarting = before.kind === 'catchingUp' && before.cause === 'start';
  draft.setCatchUp({
    kind: 'catchingUp',
    cause: isStarting ? 'start' : cause,
    since: now.monotonic,
    firstRequest: draft.readExchange().lastRequest + 1,
    pausedMs,
    asked: [],
  });
  requestOthers(view, draft, now);
}

/** Asks further entries, or ends the wait if there is none or it was long. */
export function stepCatchUp(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const state = draft.readCatchUp();
  if (state.kind !== 'catchingUp' || state.since > now.monotonic) {
    return;
  }
  if (now.monotonic - state.since >= CATCH_UP_LIMIT_MS) {
    endCatchUp(draft, state, null, now);
  } else {
    requestOthers(view, draft, now);
  }
}

function requestOthers(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const state = draft.readCatchUp();
  if (state.kind !== 'catchingUp') {
    return;
  }
  const isAlone =
    view.board.control.directory.entries.length > 0 &&
    listOtherEntries(view.board).length === 0;
  if (isAlone) {
    endCatchUp(draft, state, null, now);
    return;
  }
  const at = now.monotonic;
  const recent = state.asked.filter(each => at - each.at < REPEATED_REQUEST_MS);
  const left = new Set(recent.map(({node}) => node));
  const asked = requestLeaves(view, draft, REQUESTED_ENTRIES, now, left);
  draft.setCatchUp({
    ...state,
    asked: [...recent, ...asked.map(({node}) => ({node, at}))],
  });
  draft.add(createExchangeTimer());
}

/** Ends the wait if an entry that has missed nothing has reported all it knows. */
export function handleCatchUpReport(
  draft: WithdrawalDraft,
  from: NodeId,
  {
    request,
    isComplete,
    isCurrent,
  }: Extract<EntryMessage, {readonly kind: 'withdrawalsReported'}>,
  now: TurnTime,
): void {
  const state = draft.readCatchUp();
  if (
    state.kind === 'catchingUp' &&
    request >= state.firstRequest &&
    isComplete &&
    isCurrent
  ) {
    endCatchUp(draft, state, from, now);
  }
}

function endCatchUp(
  draft: WithdrawalDraft,
  {cause, since, pausedMs}: CatchingUp,
  answeredBy: NodeId | null,
  now: TurnTime,
): void {
  draft.setCatchUp({kind: 'current'});
  draft.add({
    kind: 'effect',
    effect: {
      kind: 'logDecision',
      decision: {
        kind: 'leaveCatchUpEnded',
        cause,
        pausedMs,
        waitedMs: now.monotonic - since,
        answeredBy,
      },
    },
  });
}
