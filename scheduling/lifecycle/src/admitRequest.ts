import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {
  Organisation,
  RequestKind,
  Tier,
} from '@gentianshunt/configuration';
import {isIsolated, refuseUnadmitted} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  RefusalReason,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import {computeWaitingLimit} from '@gentianshunt/limits';

import {awaitTest} from './awaitedTests.js';
import {addToQueue} from './addToQueue.js';
import {findRequestRefusal} from './quarantinedRequests.js';
import {describeShed} from './describeShed.js';
import {checkExpectedWait} from './expectedWait.js';
import {forwardRequest} from './relays.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';

/**
 * Checks a new request. Admits it, if need be once it may test a fingerprint that
 * was held; otherwise refuses it with the reason.
 */
export function admitRequest(
  view: LifecycleView,
  draft: RequestDraft,
  attributes: RequestAttributes,
  now: TurnTime,
): void {
  const reason = findServiceRefusal(view, now);
  if (reason !== undefined) {
    refuse(draft, attributes, reason, TRANSIENT_RETRY_AFTER_MS);
    return;
  }
  if (attributes.isRelayed === true && isIsolated(view.board.reach)) {
    const detail = 'no endpoint is reached';
    const unreached = {kind: 'endpointFailed', detail} as const;
    refuse(draft, attributes, unreached, TRANSIENT_RETRY_AFTER_MS);
    return;
  }
  const found = findRequestRefusal(view, attributes, now);
  if (found?.mayTest === false) {
    refuse(draft, attributes, found.reason, found.retryAfterMs);
    return;
  }
  const checked = checkAttributes(view, attributes);
  if (checked.kind === 'refused') {
    refuse(draft, attributes, checked.reason, null);
    return;
  }
  const request = toAdmittedRequest(attributes, checked, now);
  if (
    forwardRequest(view, draft, {request, tried: [], mayHaveRun: false}, now)
  ) {
    return;
  }
  if (isOverWaitingLimit(view, request, checked.organisation)) {
    refuse(
      draft,
      attributes,
      {kind: 'organisationLimit'},
      TRANSIENT_RETRY_AFTER_MS,
    );
    return;
  }
  const admission = checkExpectedWait(view, request, now);
  if (admission.kind === 'refuse') {
    const ownNode = view.board.identity.address.node;
    draft.addEffect(describeShed(view, request, ownNode, now));
    refuse(draft, attributes, {kind: 'shed'}, admission.retryAfterMs);
    return;
  }
  if (found === undefined) {
    addToQueue(view, draft, request, now);
  } else {
    awaitTest(draft, request, now);
  }
}

/** Returns whether the queue has as many requests as the limit allows. */
function isOverWaitingLimit(
  view: LifecycleView,
  {set, rank}: AdmittedRequest,
  {id, limits}: Organisation,
): boolean {
  const queue = {set, rank, organisation: id};
  const waiting = view.board.queues.get(queue)?.count ?? 0;
  return waiting >= computeWaitingLimit(limits);
}

function refuse(
  draft: RequestDraft,
  attributes: RequestAttributes,
  reason: RefusalReason,
  retryAfterMs: number | null,
): void {
  const refusal = refuseUnadmitted(attributes, reason, retryAfterMs);
  draft.addEffect({kind: 'refuseCaller', refusal});
}

/** Finds a reason why this entry admits no request at present. */
function findServiceRefusal(
  view: LifecycleView,
  now: TurnTime,
): RefusalReason | undefined {
  if (view.board.service.kind === 'draining') {
    return {kind: 'draining'};
  }
  if (!isLeaseValid(view.board.control.lease, now)) {
    return {kind: 'noLease'};
  }
  return undefined;
}

/** The result of checking a request against the configuration. */
type CheckedAttributes =
  | {
      readonly kind: 'admitted';
      readonly organisation: Organisation;
      readonly tier: Tier;
      readonly requestKind: RequestKind;
    }
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

function checkAttributes(
  view: LifecycleView,
  attributes: RequestAttributes,
): CheckedAttributes {
  const {configuration} = view.board;
  const organisation = findObject(
    configuration,
    'organisation',
    attributes.organisation,
  );
  if (organisation === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownOrganisation'}};
  }
  const tierId = attributes.tier ?? organisation.tiers[0];
  const tier =
    tierId !== undefined && organisation.tiers.includes(tierId)
      ? findObject(configuration, 'tier', tierId)
      : undefined;
  if (tier === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownTier'}};
  }
  if (findObject(configuration, 'endpointSet', attributes.set) === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownSet'}};
  }
  const requestKind = findObject(configuration, 'requestKind', attributes.kind);
  if (requestKind === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownKind'}};
  }
  const needsClaim =
    !requestKind.idempotent && requestKind.isUnclaimed !== true;
  if (needsClaim && attributes.claim === null) {
    return {kind: 'refused', reason: {kind: 'missingIdempotencyKey'}};
  }
  return {kind: 'admitted', organisation, tier, requestKind};
}

function toAdmittedRequest(
  attributes: RequestAttributes,
  checked: Extract<CheckedAttributes, {readonly kind: 'admitted'}>,
  now: TurnTime,
): AdmittedRequest {
  return {
    ...attributes,
    tier: checked.tier.id,
    claim: checked.requestKind.idempotent ? null : attributes.claim,
    isIdempotent: checked.requestKind.idempotent,
    rank: checked.tier.rank + (checked.organisation.rankOffset ?? 0),
    value: checked.requestKind.weight * checked.tier.weight,
    arrivedAt: now.monotonic,
  };
}
