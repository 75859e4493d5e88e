import type {TurnTime} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import type {
  Organisation,
  RequestKind,
  Tier,
} from '@gentianshunt/configuration';
import {refuseUnadmitted} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  RefusalReason,
  RequestFacts,
} from '@gentianshunt/entryModel';
import {readWaitingLimit} from '@gentianshunt/limits';

import {isAllotted, spendAllotment} from './allotments.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {refillRepeats} from './repeats.js';

/** When a caller refused for a passing reason may try again. */
export const TRANSIENT_RETRY_AFTER_MS = 1_000;

/** Admits a request to its line, or refuses it with the reason. */
export function admitRequest(
  view: LifecycleView,
  draft: RequestDraft,
  facts: RequestFacts,
  now: TurnTime,
): void {
  const reason = findServiceRefusal(view, now);
  if (reason !== undefined) {
    refuse(draft, facts, reason, TRANSIENT_RETRY_AFTER_MS);
    return;
  }
  const checked = checkFacts(view, facts);
  if (checked.kind === 'refused') {
    refuse(draft, facts, checked.reason, null);
    return;
  }
  const request = toAdmitted(facts, checked, now);
  if (isOverLimit(view, request, checked.organisation)) {
    refuse(draft, facts, {kind: 'organisationLimit'}, TRANSIENT_RETRY_AFTER_MS);
    return;
  }
  refillRepeats(view, draft, request, now);
  if (isAllotted(view, request)) {
    spendAllotment(view, draft, request, now);
  } else {
    draft.move({kind: 'waiting', request});
  }
}

function isOverLimit(
  view: LifecycleView,
  {set, rank}: AdmittedRequest,
  {id, limits}: Organisation,
): boolean {
  const line = {set, rank, organisation: id};
  const waiting = view.board.lines.get(line)?.count ?? 0;
  return waiting >= readWaitingLimit(limits);
}

function refuse(
  draft: RequestDraft,
  facts: RequestFacts,
  reason: RefusalReason,
  retryAfterMs: number | null,
): void {
  const refusal = refuseUnadmitted(facts, reason, retryAfterMs);
  draft.order({kind: 'refuseCaller', refusal});
}

function findServiceRefusal(
  view: LifecycleView,
  now: TurnTime,
): RefusalReason | undefined {
  if (view.board.service.kind === 'draining') {
    return {kind: 'draining'};
  }
  if (view.board.control.leaseUntil <= now.monotonic) {
    return {kind: 'noLease'};
  }
  return undefined;
}

/** The outcome of checking a request against the configuration. */
type CheckedFacts =
  | {
      readonly kind: 'admitted';
      readonly organisation: Organisation;
      readonly tier: Tier;
      readonly requestKind: RequestKind;
    }
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

function checkFacts(view: LifecycleView, facts: RequestFacts): CheckedFacts {
  const {configuration} = view.board;
  const organisation = findObject(
    configuration,
    'organisation',
    facts.organisation,
  );
  if (organisation === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownOrganisation'}};
  }
  const tierId = facts.tier ?? organisation.tiers[0];
  const tier =
    tierId !== undefined && organisation.tiers.includes(tierId)
      ? findObject(configuration, 'tier', tierId)
      : undefined;
  if (tier === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownTier'}};
  }
  if (findObject(configuration, 'endpointSet', facts.set) === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownSet'}};
  }
  const requestKind = findObject(configuration, 'requestKind', facts.kind);
  if (requestKind === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownKind'}};
  }
  const needsClaim =
    !requestKind.idempotent && requestKind.isUnclaimed !== true;
  if (needsClaim && facts.claim === null) {
    return {kind: 'refused', reason: {kind: 'missingIdempotencyKey'}};
  }
  return {kind: 'admitted', organisation, tier, requestKind};
}

function toAdmitted(
  facts: RequestFacts,
  checked: Extract<CheckedFacts, {readonly kind: 'admitted'}>,
  now: TurnTime,
): AdmittedRequest {
  return {
    ...facts,
    tier: checked.tier.id,
    claim: checked.requestKind.idempotent ? null : facts.claim,
    isIdempotent: checked.requestKind.idempotent,
    rank: checked.tier.rank + (checked.organisation.rankOffset ?? 0),
    value: checked.requestKind.weight * checked.tier.weight,
    arrivedAt: now.monotonic,
  };
}
