/** Refuses requests that no account of their organisation covers. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  QuotaDenial,
  RefusalReason,
} from '@gentianshunt/entryModel';

import {endRequest} from './endRequest.js';
import {readQuotaTokens} from './quotaUsage.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Retry delay for callers that are refused because no owner answered. */
const UNDECIDED_RETRY_AFTER_MS: Milliseconds = 1_000;

/** Finds the account that will cover a request first; `undefined` if unknown. */
export function findShortestWait(
  denials: readonly QuotaDenial[],
): QuotaDenial | undefined {
  return [...denials].sort(
    (left, right) => left.retryAfterMs - right.retryAfterMs,
  )[0];
}

/**
 * Refuses a request: as beyond the quota if an owner denied it, and as
 * undecided if none has answered.
 */
export function refuseUncovered(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  denial: QuotaDenial | undefined,
  now: TurnTime,
): void {
  const state = {kind: 'awaitingAllotment', request} as const;
  const reason: RefusalReason = {
    kind: denial === undefined ? 'quotaUndecided' : 'allotmentUsed',
  };
  const retryAfterMs = denial?.retryAfterMs ?? UNDECIDED_RETRY_AFTER_MS;
  const refusal = refuseNotRun(state, reason, retryAfterMs);
  draft.addEffect({
    kind: 'logDecision',
    decision: {
      kind: 'allotmentRefused',
      request: request.id,
      organisation: request.organisation,
      tokens: readQuotaTokens(request),
      decidedBy: denial?.owner ?? view.board.identity.address.node,
      usedTokens: denial?.usedTokens ?? 0,
      limitTokens: denial?.limitTokens ?? 0,
      retryAfterMs,
      configurationVersion: view.board.control.version,
    },
  });
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}
