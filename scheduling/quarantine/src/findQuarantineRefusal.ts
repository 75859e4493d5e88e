import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import {listFingerprints} from '@gentianshunt/entryModel';
import type {
  Fingerprint,
  Quarantine,
  RefusalReason,
  RequestAttributes,
  RequestState,
} from '@gentianshunt/entryModel';
import type {FingerprintId, NodeId, RequestId} from '@gentianshunt/identifiers';

import {isTestDue} from './quarantineRules.js';

/** Shortest time after which a refused caller may try again. */
const MIN_RETRY_AFTER_MS: Milliseconds = 1_000;
/** The same for a fingerprint that an operator holds. */
const OPERATOR_RETRY_AFTER_MS: Milliseconds = 60_000;

/** The state of an entry in which quarantines are looked up. */
export interface QuarantineQuery {
  readonly configuration: ConfigurationTable;
  readonly quarantines: ReadonlyMap<FingerprintId, Quarantine>;
  readonly requests: ReadonlyMap<RequestId, RequestState>;
  readonly self: NodeId;
  readonly now: MonotonicTime;
}

/** Why a request is refused. */
export type QuarantineReason = Extract<
  RefusalReason,
  {readonly kind: 'promptQuarantined' | 'requestQuarantined'}
>;

/** The attributes of a request by which quarantines are looked up. */
export type FingerprintedRequest = Pick<
  RequestAttributes,
  'id' | 'promptParts' | 'requestFingerprint'
>;

/** Why a request must not reach an endpoint now. */
export interface QuarantineRefusal {
  readonly reason: QuarantineReason;
  /** When its caller may try again. */
  readonly retryAfterMs: Milliseconds;
  /** Whether it may run as a test once the set leader permits it. */
  readonly mayTest: boolean;
}

/**
 * Finds a reason why a request must not reach an endpoint now; one that a test
 * cannot lift goes first.
 */
export function findQuarantineRefusal(
  query: QuarantineQuery,
  request: FingerprintedRequest,
): QuarantineRefusal | undefined {
  const refusals = listFingerprints(request).flatMap(fingerprint => {
    const refusal = findRefusal(query, fingerprint, request.id);
    return refusal === undefined ? [] : [refusal];
  });
  return refusals.find(({mayTest}) => !mayTest) ?? refusals[0];
}

function findRefusal(
  query: QuarantineQuery,
  fingerprint: Fingerprint,
  request: RequestId,
): QuarantineRefusal | undefined {
  const {id} = fingerprint;
  const reason = toReason(fingerprint);
  const policy = findObject(query.configuration, 'promptPolicy', id);
  if (policy?.state === 'held') {
    const retryAfterMs = OPERATOR_RETRY_AFTER_MS;
    return {reason, retryAfterMs, mayTest: false};
  }
  const quarantine = query.quarantines.get(id);
  if (quarantine === undefined || !isRefused(query, quarantine, request)) {
    return undefined;
  }
  return {
    reason,
    retryAfterMs: computeRetryAfter(quarantine, query.now),
    mayTest:
      isTestDue(quarantine, query.now) &&
      !hasOtherRequest(query, fingerprint, request),
  };
}

function toReason({kind}: Fingerprint): QuarantineReason {
  switch (kind) {
    case 'promptPart':
      return {kind: 'promptQuarantined'};
    case 'request':
      return {kind: 'requestQuarantined'};
    default:
      return assertNever(kind, 'toReason');
  }
}

function isRefused(
  query: QuarantineQuery,
  {fingerprint, state}: Quarantine,
  request: RequestId,
): boolean {
  switch (state.kind) {
    case 'held':
      return query.now >= state.from;
    case 'testing':
      return (
        state.tester !== query.self ||
        query.now >= state.until ||
        hasOtherRequest(query, fingerprint, request)
      );
    case 'lifted':
      return false;
    default:
      return assertNever(state, 'isRefused');
  }
}

/** Returns whether another request of this entry has the fingerprint. */
function hasOtherRequest(
  {requests}: QuarantineQuery,
  fingerprint: Fingerprint,
  id: RequestId,
): boolean {
  return [...requests.values()].some(
    ({request}) =>
      request.id !== id &&
      listFingerprints(request).some(other => other.id === fingerprint.id),
  );
}

function computeRetryAfter(
  {state}: Quarantine,
  now: MonotonicTime,
): Milliseconds {
  return Math.max(MIN_RETRY_AFTER_MS, state.until - now);
}
