/** Asks the owners of quota accounts whether they cover a request. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findEntryAddress, listQuotaAccounts} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  AskedQuotaOwner,
  QuotaDenial,
} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {OrganisationId, QuotaAccountId} from '@gentianshunt/identifiers';
import {findQuotaOwner} from '@gentianshunt/quotas';

import {consumeTokens, readUsageState} from './quotaUsage.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Shortest time without a decision after which the next owner is asked too. */
const MIN_DECISION_TIMEOUT_MS: Milliseconds = 100;
/** Longest such time. */
const MAX_DECISION_TIMEOUT_MS: Milliseconds = 1_000;
/** Longest such time, as a fraction of the request's time limit. */
const MAX_DECISION_WAIT_FRACTION = 0.25;
/** The time in usual round trips. */
const DECISION_ROUND_TRIPS = 2;

/** Whom an entry has asked about a request, and what was answered. */
export interface QuotaInquiry {
  readonly asked: readonly AskedQuotaOwner[];
  readonly denials: readonly QuotaDenial[];
}

/** The inquiry of a request before any owner is asked. */
export const NOBODY_ASKED: QuotaInquiry = {asked: [], denials: []};

/**
 * Sorts the accounts of an organisation in the order in which this entry asks
 * them. The order differs between entries, which divides the work and the use.
 */
export function sortAccounts(
  {board}: LifecycleView,
  organisation: OrganisationId,
): readonly QuotaAccountId[] {
  const {node} = board.identity.address;
  return sortByRendezvous(node, listQuotaAccounts(organisation), each => each);
}

/** Asks the first owner that is neither asked nor silent, if there is one. */
export function queryNextOwner(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  {asked, denials}: QuotaInquiry,
  now: TurnTime,
): readonly AskedQuotaOwner[] {
  const {configuration, control, silentQuotaOwners} = view.board;
  const known = new Set([...asked, ...denials].map(({account}) => account));
  for (const account of sortAccounts(view, request.organisation)) {
    const owner = findQuotaOwner(configuration, account);
    const address = owner && findEntryAddress(control.directory, owner.node);
    if (known.has(account) || owner === undefined || address === undefined) {
      continue;
    }
    const {node, id: set, epoch} = owner;
    const silentUntil = silentQuotaOwners.get(node) ?? Number.NEGATIVE_INFINITY;
    if (silentUntil > now.monotonic) {
      continue;
    }
    const charge = consumeTokens(view, draft, account, request, now);
    const quotaRequest = {...charge, set, epoch};
    const message = {kind: 'quotaRequest', request: quotaRequest} as const;
    draft.addEffect({kind: 'sendEntry', to: node, address, message});
    const {roundTripMs} = readUsageState(view, draft, account, now);
    const requestedAt = now.monotonic;
    const lateAt = requestedAt + computeDecisionTimeout(request, roundTripMs);
    return [{account, owner: node, requestedAt, lateAt}];
  }
  return [];
}

/**
 * Computes how long a decision is awaited before the next owner is asked as
 * well: by the usual time, as far as the caller's time allows.
 */
function computeDecisionTimeout(
  {routePolicy}: AdmittedRequest,
  roundTripMs: Milliseconds | null,
): Milliseconds {
  const wantedMs = DECISION_ROUND_TRIPS * (roundTripMs ?? 0);
  const timeLimitMs = routePolicy?.timeLimitMs ?? 0;
  const mostMs = Math.min(
    MAX_DECISION_TIMEOUT_MS,
    MAX_DECISION_WAIT_FRACTION * timeLimitMs,
  );
  return Math.max(MIN_DECISION_TIMEOUT_MS, Math.min(mostMs, wantedMs));
}
