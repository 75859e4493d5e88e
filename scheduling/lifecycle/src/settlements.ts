import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {AdmittedRequest, Settlement} from '@gentianshunt/entryModel';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {RequestId} from '@gentianshunt/identifiers';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Time after which an unconfirmed outcome is sent again. */
export const SETTLE_REPEAT_MS: Milliseconds = 500;
/** How long a confirmed outcome answers late grants of the claim. */
export const SETTLEMENT_RETENTION_MS: Milliseconds = 30_000;
/** Most messages repeated in one turn. */
export const MAX_REPEATS_PER_TURN = 64;

/** Tells the control log how a claimed request ended, until it confirms. */
export function settleClaim(
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
  sendSettlement(view, draft, now, {
    key: {organisation, idempotencyKey: claim.idempotencyKey},
    request: id,
    outcome,
    endedAt: now.monotonic,
    sentAt: now.monotonic,
    confirmedAt: null,
  });
}

function sendSettlement(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
  settlement: Settlement,
): void {
  const {leader} = view.board.control;
  const {key, request, outcome} = settlement;
  draft.putSettlement({
    ...settlement,
    sentAt: now.monotonic,
    confirmedAt: null,
  });
  if (leader !== null) {
    draft.order({
      kind: 'sendControl',
      to: leader,
      message: {kind: 'settleRequest', key, request, outcome},
    });
  }
}

/** Notes that the control log holds the outcome. */
export function confirmSettlement(
  view: LifecycleView,
  draft: RequestDraft,
  request: RequestId,
  now: TurnTime,
): void {
  const settlement = view.board.settlements.get(request);
  if (settlement?.confirmedAt === null) {
    draft.putSettlement({...settlement, confirmedAt: now.monotonic});
  }
}

/** Returns a claim that was granted after its request had been given up. */
export function returnLateClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: RequestId,
  now: TurnTime,
): void {
  const settlement = view.board.settlements.get(request);
  if (settlement?.outcome.kind === 'notRun') {
    sendSettlement(view, draft, now, settlement);
  }
}

/** Sends unconfirmed outcomes again and forgets old confirmed ones. */
export function repeatSettlements(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  let repeats = 0;
  for (const [request, settlement] of view.board.settlements) {
    const {confirmedAt, sentAt} = settlement;
    if (confirmedAt !== null) {
      if (now.monotonic - confirmedAt >= SETTLEMENT_RETENTION_MS) {
        draft.dropSettlement(request);
      }
    } else if (
      now.monotonic - sentAt >= SETTLE_REPEAT_MS &&
      repeats < MAX_REPEATS_PER_TURN
    ) {
      repeats += 1;
      sendSettlement(view, draft, now, settlement);
    }
  }
}
