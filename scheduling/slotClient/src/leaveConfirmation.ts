/**
 * Confirms leaves: an endpoint gets its acknowledgement once another entry knows of
 * its leave too, so that the leave outlives the entry that was told.
 */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  isCoveredBy,
  listOtherEntries,
  pickOtherEntries,
} from '@gentianshunt/entryModel';
import type {LeftIncarnation, UnconfirmedLeave} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import type {WithdrawalDraft} from './withdrawalDraft.js';
import {
  createExchangeTimer,
  createLeaveAnswer,
  sendTo,
} from './withdrawalView.js';
import type {WithdrawalView, WithdrawalWrite} from './withdrawalView.js';

/** Longest wait for a confirmation; endpoints wait for a second. */
export const LEAVE_CONFIRMATION_MS: Milliseconds = 600;
/** Time after which further entries are asked. */
const RESEND_MS: Milliseconds = 90;
/** Entries asked at once. */
const ASKED_ENTRIES = 4;

/** Notifies all entries of a leave; some of them confirm it. */
export function broadcastLeave(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  left: LeftIncarnation,
  now: TurnTime,
): void {
  const asked = pickOtherEntries(view.board, ASKED_ENTRIES, now);
  for (const address of listOtherEntries(view.board)) {
    draft.add(sendLeave(address, endpoint, left, asked.includes(address)));
  }
  awaitConfirmation(view, draft, endpoint, left, now);
}

/** Asks again to confirm a leave that the endpoint reports again. */
export function resumeConfirmation(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  now: TurnTime,
): void {
  const known = view.board.unconfirmedLeaves.get(endpoint);
  if (known?.isRefused === true) {
    requestOthers(view, draft, endpoint, known.left, now);
    awaitConfirmation(view, draft, endpoint, known.left, now);
  }
}

function awaitConfirmation(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  left: LeftIncarnation,
  now: TurnTime,
): void {
  if (isAlone(view)) {
    draft.settleLeave(endpoint, true);
    return;
  }
  const at = now.monotonic;
  draft.add(
    putUnconfirmed(endpoint, {left, since: at, askedAt: at, isRefused: false}),
    createExchangeTimer(),
  );
}

/** Returns whether the directory lists no other entry that could confirm. */
function isAlone({board}: WithdrawalView): boolean {
  return (
    board.control.directory.entries.length > 0 &&
    listOtherEntries(board).length === 0
  );
}

function requestOthers(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  left: LeftIncarnation,
  now: TurnTime,
): void {
  for (const address of pickOtherEntries(board, ASKED_ENTRIES, now)) {
    draft.add(sendLeave(address, endpoint, left, true));
  }
}

/** Asks further entries, and refuses what nobody confirms in time. */
export function stepConfirmations(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const canConfirm = !isAlone(view);
  for (const [endpoint, leave] of view.board.unconfirmedLeaves) {
    if (!canConfirm) {
      draft.settleLeave(endpoint, true);
      continue;
    }
    if (leave.isRefused) {
      continue;
    }
    const waitedMs = now.monotonic - leave.since;
    if (waitedMs >= LEAVE_CONFIRMATION_MS) {
      refuseLeave(draft, endpoint, leave, waitedMs);
      continue;
    }
    draft.add(createExchangeTimer());
    if (now.monotonic - leave.askedAt >= RESEND_MS) {
      requestOthers(view, draft, endpoint, leave.left, now);
      draft.add(putUnconfirmed(endpoint, {...leave, askedAt: now.monotonic}));
    }
  }
}

function refuseLeave(
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  leave: UnconfirmedLeave,
  waitedMs: Milliseconds,
): void {
  draft.add(
    putUnconfirmed(endpoint, {...leave, isRefused: true}),
    createLeaveAnswer(endpoint, false),
    {
      kind: 'effect',
      effect: {
        kind: 'logDecision',
        decision: {kind: 'leaveUnconfirmed', endpoint, waitedMs},
      },
    },
  );
}

/** Records that another entry knows of a leave. */
export function confirmLeave(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  left: LeftIncarnation,
): void {
  const waiting = board.unconfirmedLeaves.get(endpoint);
  if (waiting !== undefined && isCoveredBy(waiting.left, left)) {
    draft.settleLeave(endpoint, true);
  }
}

function putUnconfirmed(
  key: EndpointId,
  value: UnconfirmedLeave,
): WithdrawalWrite {
  return {kind: 'put', section: 'unconfirmedLeaves', key, value};
}

function sendLeave(
  address: EntryAddress,
  endpoint: EndpointId,
  left: LeftIncarnation,
  isConfirmationRequested: boolean,
): WithdrawalWrite {
  return sendTo(address, {
    kind: 'endpointLeft',
    endpoint,
    left,
    isConfirmationRequested,
  });
}
