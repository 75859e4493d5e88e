import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {TokenAllotment} from '@gentianshunt/configuration';
import {DEFAULT_SHARED_BOUNDS} from '@gentianshunt/entryModel';
import type {AdmittedRequest, AllotmentState} from '@gentianshunt/entryModel';
import {ageRate, refillTokens} from '@gentianshunt/limits';
import type {BucketRate} from '@gentianshunt/limits';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Part of the conceded tokens that is handed out evenly over time. */
const SLACK_IN_RATE = 0.45;
/** Part of the conceded tokens that may be used at once. */
const SLACK_IN_BURST = 0.35;
const MS_PER_SECOND = 1_000;

/**
 * Takes a request out of the allotment of its organisation. Returns 0, or how
 * long it takes until the allotment covers the request.
 */
export function spendAllotment(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): Milliseconds {
  const {organisation, terms} = request;
  const limits = findObject(
    view.board.configuration,
    'organisation',
    organisation,
  )?.limits;
  const allotment = limits?.tokens ?? null;
  if (allotment === null || terms === undefined) {
    return 0;
  }
  const {allotmentTokens} = terms;
  const known = draft.readAllotment(organisation);
  const rate = readShare(view, request, allotment);
  const filled = refillTokens(known, rate, now.monotonic);
  const missing = allotmentTokens - filled.tokens;
  // A request larger than the bucket goes ahead when the bucket is full.
  const isCovered = missing <= 0 || filled.tokens >= rate.capacity;
  const next: AllotmentState = {
    ...filled,
    tokens: isCovered ? filled.tokens - allotmentTokens : filled.tokens,
    demandPerSecond: ageRate(known?.demandPerSecond ?? 0, {
      elapsedMs: now.monotonic - (known?.at ?? now.monotonic),
      amount: allotmentTokens,
    }),
  };
  draft.putAllotment(organisation, next);
  return isCovered ? 0 : (missing / rate.perSecond) * MS_PER_SECOND;
}

/**
 * The part of an allotment that falls to this entry. Part of what the operator
 * concedes is handed out; the rest covers that entries disagree for a while.
 */
function readShare(
  {board}: LifecycleView,
  {organisation}: AdmittedRequest,
  {tokensPerSecond, burstTokens}: TokenAllotment,
): BucketRate {
  const entries = Math.max(1, board.control.directory.entries.length);
  const share = board.allotmentShares.get(organisation) ?? 1 / entries;
  const {allotmentTolerance} = board.identity.bounds ?? DEFAULT_SHARED_BOUNDS;
  const {windowMs, overage, slackTokens} = allotmentTolerance;
  const conceded = (SLACK_IN_RATE * slackTokens * MS_PER_SECOND) / windowMs;
  return {
    perSecond: (tokensPerSecond * (1 + overage) + conceded) * share,
    // Spread evenly: it is for demand that nobody has seen yet.
    capacity: burstTokens * share + (SLACK_IN_BURST * slackTokens) / entries,
  };
}
