/**
 * Reports the outcomes of claimed requests to the control log and resends them
 * until it confirms.
 */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {computeResendDelayMs} from '@gentianshunt/entryModel';
import type {AdmittedRequest, ClaimCompletion} from '@gentianshunt/entryModel';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {RequestId} from '@gentianshunt/identifiers';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Shortest time after which an unconfirmed outcome is sent again. */
export const COMPLETION_RESEND_MS: Milliseconds = 500;
/**
 * How long a confirmed outcome is kept, so that it can be sent again if a late
 * grant of the claim arrives.
 */
export const COMPLETION_RETENTION_MS: Milliseconds = 30_000;
/** Most messages of one kind that are resent in one turn. */
export const MAX_RESENDS_PER_TURN = 64;

/**
 * Reports the outcome of a claimed request to the control log, which completes
 * the claim. It is resent until the control log confirms it.
 */
export function completeClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  outcome: ClaimOutcome,
  now: TurnTime,
): void {
  if (request.claim === null) {
    return;
  }
  const {organisation, id, claim} = request;
  sendCompletion(view, draft, now, {
    key: {organisation, idempotencyKey: claim.idempotencyKey},
    request: id,
    outcome,
    endedAt: now.monotonic,
    sentAt: now.monotonic,
    confirmedAt: null,
  });
}

function sendCompletion(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
  completion: ClaimCompletion,
): void {
  const {leader} = view.board.control;
  const {key, request, outcome} = completion;
  draft.putCompletion({
    ...completion,
    sentAt: now.monotonic,
    confirmedAt: null,
  });
  if (leader !== null) {
    draft.addEffect({
      kind: 'sendControl',
      to: leader,
      message: {kind: 'settleRequest', key, request, outcome},
    });
  }
}

/** Records that the control log has stored the outcome. */
export function confirmCompletion(
  view: LifecycleView,
  draft: RequestDraft,
  request: RequestId,
  now: TurnTime,
): void {
  const completion = view.board.claimCompletions.get(request);
  if (completion?.confirmedAt === null) {
    draft.putCompletion({...completion, confirmedAt: now.monotonic});
  }
}

/** Releases a claim that was granted after its request had ended. */
export function releaseLateClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: RequestId,
  now: TurnTime,
): void {
  const completion = view.board.claimCompletions.get(request);
  if (completion?.outcome.kind === 'notRun') {
    sendCompletion(view, draft, now, completion);
  }
}

/** Resends unconfirmed outcomes and removes old confirmed ones. */
export function resendCompletions(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  const {control} = view.board;
  const delayMs = computeResendDelayMs(control, COMPLETION_RESEND_MS);
  let resends = 0;
  for (const [request, completion] of view.board.claimCompletions) {
    const {confirmedAt, sentAt} = completion;
    if (confirmedAt !== null) {
      if (now.monotonic - confirmedAt >= COMPLETION_RETENTION_MS) {
        draft.removeCompletion(request);
      }
    } else if (
      now.monotonic - sentAt >= delayMs &&
      resends < MAX_RESENDS_PER_TURN
    ) {
      resends += 1;
      sendCompletion(view, draft, now, completion);
    }
  }
}
