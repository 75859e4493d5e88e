import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {TokenAllotment} from '@gentianshunt/configuration';
import {DEFAULT_SHARED_BOUNDS} from '@gentianshunt/entryModel';
import type {AdmittedRequest} from '@gentianshunt/entryModel';
import {fillBucket, spendBucket} from '@gentianshunt/limits';
import type {BucketRate} from '@gentianshunt/limits';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Part of the slack that entries use; the rest covers their disagreement. */
const SLACK_USED = 0.5;
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
  const tokens = limits?.tokens ?? null;
  if (tokens === null || terms === undefined) {
    return 0;
  }
  const rate = readShare(view, tokens);
  const bucket = fillBucket(
    draft.readAllotment(organisation),
    rate,
    now.monotonic,
  );
  const missing = terms.allotmentTokens - bucket.tokens;
  // A request larger than the bucket goes ahead when the bucket is full.
  if (missing > 0 && bucket.tokens < rate.capacity) {
    return (missing / rate.perSecond) * MS_PER_SECOND;
  }
  draft.putAllotment(organisation, spendBucket(bucket, terms.allotmentTokens));
  return 0;
}

/** The part of an allotment that falls to this entry. */
function readShare(
  {board}: LifecycleView,
  {tokensPerSecond, burstTokens}: TokenAllotment,
): BucketRate {
  const entries = Math.max(1, board.control.directory.entries.length);
  const {allotmentSlackTokens} = board.identity.bounds ?? DEFAULT_SHARED_BOUNDS;
  return {
    perSecond: tokensPerSecond / entries,
    capacity: (burstTokens + SLACK_USED * allotmentSlackTokens) / entries,
  };
}
