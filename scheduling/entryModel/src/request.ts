import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {jitterDelay} from '@gentianshunt/hashing';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  FingerprintId,
  GrantId,
  NodeId,
  OrganisationId,
  PromptPartId,
  RequestId,
  RequestKindId,
  RouteId,
  SoftwareVersion,
  TierId,
} from '@gentianshunt/identifiers';

import type {Relay, RelayEnd} from './relay.js';
import type {StreamEnd} from './streamEnd.js';
import type {StreamOrigin} from './streamOrigin.js';

/** A non-idempotent request's key and the digest of its content. */
export interface IdempotencyClaim {
  readonly idempotencyKey: string;
  readonly digest: string;
}

/** How calls to a route are handled, from its configuration. */
export interface RoutePolicy {
  readonly route: RouteId;
  /** Maximum number of dispatches; those that sent no byte do not count. */
  readonly maxAttempts: number;
  /** Time from its arrival after which the call ends with a refusal. */
  readonly timeLimitMs: Milliseconds;
  /** Time to the first byte that the route aims for. */
  readonly objectiveMs: Milliseconds;
  /** Time without a byte after which the caller is expected to leave. */
  readonly patienceMs: Milliseconds;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly isResumable: boolean;
  readonly isStream: boolean;
  /** Tokens that count against the token quota of the organisation. */
  readonly quotaTokens: number;
  /** What endpoints are told; the organisation's identifier if absent. */
  readonly organisationName?: string;
}

/**
 * Returns whether callers may take the stream of a call up at other entries, so that
 * an entry decides when they may have its first event.
 */
export function isResumableStream(policy: RoutePolicy | undefined): boolean {
  return policy?.isStream === true && policy.isResumable;
}

/** A stream that a caller takes up again after its connection broke. */
export interface ResumedStream {
  /** The attempt that brought its first event; `null` if not named. */
  readonly attempt: RequestId | null;
}

/** The attributes of a request that has been parsed and validated. */
export interface RequestAttributes {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  /** The requested tier; `null` selects the organisation's default tier. */
  readonly tier: TierId | null;
  readonly set: EndpointSetId;
  readonly kind: RequestKindId;
  /** Present when the kind is non-idempotent. */
  readonly claim: IdempotencyClaim | null;
  /** Estimated length of the prompt in tokens. */
  readonly promptTokens: number;
  /** Maximum length of the answer in tokens. */
  readonly maxTokens: number;
  /** Hash of the start of the prompt, to prefer endpoints that cached it. */
  readonly prefix: string | null;
  /**
   * The parts of the prompt in their order, without the last one, which belongs
   * to the request itself. Absent when the caller named none.
   */
  readonly promptParts?: readonly PromptPartId[];
  /**
   * Equal for requests with the same caller, target and body. Absent when the
   * front computes none.
   */
  readonly requestFingerprint?: FingerprintId;
  /** Present when the request continues a stream that broke. */
  readonly resumed?: ResumedStream;
  /** Absent when the request names its endpoint set instead of a route. */
  readonly routePolicy?: RoutePolicy;
  /** Whether another entry passed the request on to this one. */
  readonly isRelayed?: boolean;
}

/** A request's attributes, completed from the configuration on admission. */
export interface AdmittedRequest extends RequestAttributes {
  readonly tier: TierId;
  readonly rank: number;
  /** Weight of the request kind times the weight of the tier. */
  readonly value: number;
  readonly arrivedAt: MonotonicTime;
  /** Whether a call to a route may run more than once. */
  readonly isIdempotent?: boolean;
  /** Whether it missed its objective while queued and ranks below its tier. */
  readonly isDeprioritised?: boolean;
  /** Endpoints of the earlier dispatches, the latest last. */
  readonly tried?: readonly EndpointId[];
  /** What began its stream; only such endpoints may go on with it. */
  readonly origin?: StreamOrigin;
  /** How many of these dispatches sent no byte of the request. */
  readonly unsentCount?: number;
}

/** The identifier and the URL of an endpoint. */
export interface EndpointTarget {
  readonly endpoint: EndpointId;
  /** Base URL of the endpoint. */
  readonly url: string;
  /** Absent when the endpoint does not name its software. */
  readonly software?: SoftwareVersion;
}

/** One dispatch of a request; there is at most one at a time. */
export interface Dispatch {
  readonly id: DispatchId;
  readonly grant: GrantId;
  readonly target: EndpointTarget;
  readonly at: MonotonicTime;
  /** When the set leader reported that the endpoint accepts requests. */
  readonly stateAt: MonotonicTime;
  /** Whether the request may be dispatched again if the endpoint fails. */
  readonly isRetryable?: boolean;
}

/** A request that no endpoint has seen, so a refusal can say `notRun`. */
export type UndispatchedState =
  | {
      readonly kind: 'waiting';
      readonly request: AdmittedRequest;
      /** Present when the claim on its idempotency key is granted already. */
      readonly holdsClaim?: true;
    }
  | {
      /** Has a slot, and waits for the claim on its idempotency key. */
      readonly kind: 'claiming';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
      /** The slot's deadline, after which the dispatch must not start. */
      readonly deadline: MonotonicTime;
    }
  | {
      /** Waits for the permission to test a fingerprint that was held. */
      readonly kind: 'awaitingTest';
      readonly request: AdmittedRequest;
    }
  | {
      /** Takes up a stream, and waits until it is known what began it. */
      readonly kind: 'awaitingOrigin';
      readonly request: AdmittedRequest;
    }
  | {
      /** Waits until the token quota of its organisation covers it. */
      readonly kind: 'awaitingAllotment';
      readonly request: AdmittedRequest;
    }
  | {
      /** Waits for the outcome of another request with the same key. */
      readonly kind: 'awaitingOutcome';
      readonly request: AdmittedRequest;
    };

/** A request that waits for a retry, after a dispatch that may have run. */
export interface RetryingState {
  readonly kind: 'repeating';
  readonly request: AdmittedRequest;
}

/** The fields of both states after a dispatch. */
interface DispatchedBase {
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  /** When the endpoint counts as silent if it sends nothing until then. */
  readonly silentAt: MonotonicTime;
  /** How often the stream has been resumed. */
  readonly resumes: number;
  /** Whether an earlier dispatch of the request may have run. */
  readonly mayHaveRun?: boolean;
}

/** A request whose first byte may have reached an endpoint. */
export type DispatchedState =
  | (DispatchedBase & {readonly kind: 'dispatched'})
  | (DispatchedBase & {
      readonly kind: 'answering';
      readonly firstTokenAt: MonotonicTime;
    });

/** A request that this entry has passed on to another one. */
export interface RelayedState {
  readonly kind: 'relayed';
  readonly request: AdmittedRequest;
  readonly relay: Relay;
  /** Entries that did not take it before. */
  readonly tried: readonly NodeId[];
  /** Whether it may have run before it was passed on. */
  readonly mayHaveRun: boolean;
}

/** The states in which a request is in its queue. */
export type QueuedState =
  Extract<UndispatchedState, {readonly kind: 'waiting'}> | RetryingState;

/** Returns whether a request is in its queue. */
export function isQueued(state: RequestState): state is QueuedState {
  return state.kind === 'waiting' || state.kind === 'repeating';
}

/** The states of a live request; an ended request leaves the board. */
export type RequestState =
  UndispatchedState | RetryingState | DispatchedState | RelayedState;

/** Why the entry refused a request. */
export type RefusalReason =
  | {readonly kind: 'shed'}
  | {readonly kind: 'organisationLimit'}
  | {readonly kind: 'unknownOrganisation'}
  | {readonly kind: 'unknownTier'}
  | {readonly kind: 'unknownSet'}
  | {readonly kind: 'unknownKind'}
  | {readonly kind: 'missingIdempotencyKey'}
  | {readonly kind: 'idempotencyKeyReused'}
  | {readonly kind: 'outcomeUnknown'}
  | {readonly kind: 'noLease'}
  | {readonly kind: 'draining'}
  /** The event loop of the entry is too late to serve the request in time. */
  | {readonly kind: 'overloaded'}
  /** The entry has no memory for the request's body. */
  | {readonly kind: 'memoryFull'}
  | {readonly kind: 'claimsUnavailable'}
  | {readonly kind: 'noConfiguration'}
  | {readonly kind: 'unknownRoute'}
  | {readonly kind: 'unknownKey'}
  /** The token quota of the organisation does not cover the request. */
  | {readonly kind: 'allotmentUsed'}
  /** A part of its prompt crashes endpoints. */
  | {readonly kind: 'promptQuarantined'}
  /** Requests like this one crash endpoints. */
  | {readonly kind: 'requestQuarantined'}
  /** It takes up a stream, and no entry knows which software began it. */
  | {readonly kind: 'streamOriginUnknown'}
  /** No owner of the token quota answered. */
  | {readonly kind: 'quotaUndecided'}
  | {readonly kind: 'timeLimit'}
  | {readonly kind: 'endpointFailed'; readonly detail: string}
  /** The answer broke off, or the endpoint fell silent. */
  | {readonly kind: 'answerCut'; readonly detail: string};

interface RefusalBase {
  readonly request: RequestId;
  readonly reason: RefusalReason;
  /** When the caller may try again; `null` if a retry cannot succeed. */
  readonly retryAfterMs: number | null;
}

declare const notRunProof: unique symbol;

/**
 * A refusal that promises that no endpoint has seen the request. Only the
 * functions of this module create one; their parameters, a state or an event,
 * prove the promise.
 */
export interface NotRunRefusal extends RefusalBase {
  readonly notRun: true;
  readonly [notRunProof]: true;
}

/** A refusal of a request of which some dispatch may have run. */
export interface DispatchedRefusal extends RefusalBase {
  readonly notRun: false;
}

/** A refusal; `notRun` says whether the request surely did not run. */
export type Refusal = NotRunRefusal | DispatchedRefusal;

/** Refuses a request that has not been dispatched. */
export function refuseNotRun(
  state: UndispatchedState,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  return createNotRunRefusal(state.request.id, reason, retryAfterMs);
}

/** Refuses a request that was never admitted. */
export function refuseUnadmitted(
  attributes: Pick<RequestAttributes, 'id'>,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  return createNotRunRefusal(attributes.id, reason, retryAfterMs);
}

/** Refuses a request that the endpoint reports as not executed. */
export function refuseNotExecuted(
  state: Extract<DispatchedState, {readonly kind: 'dispatched'}>,
  end: Extract<StreamEnd, {readonly kind: 'notExecuted'}>,
  retryAfterMs: number | null,
): NotRunRefusal {
  const reason = {kind: 'endpointFailed', detail: end.detail} as const;
  return createNotRunRefusal(state.request.id, reason, retryAfterMs);
}

/** Refuses a dispatched request of which no byte was sent. */
export function refuseUnsent(
  state: Extract<DispatchedState, {readonly kind: 'dispatched'}>,
  end: Extract<StreamEnd, {readonly kind: 'notSent'}>,
  retryAfterMs: number | null,
): NotRunRefusal {
  const reason = {kind: 'endpointFailed', detail: end.detail} as const;
  return createNotRunRefusal(state.request.id, reason, retryAfterMs);
}

/** Refuses a request of which no byte reached the entries it was passed on to. */
export function refuseUnrelayed(
  state: RelayedState & {readonly mayHaveRun: false},
  end: Extract<RelayEnd, {readonly kind: 'notSent'}>,
  retryAfterMs: number | null,
): NotRunRefusal {
  const reason = {kind: 'endpointFailed', detail: end.detail} as const;
  return createNotRunRefusal(state.request.id, reason, retryAfterMs);
}

/** Refuses a dispatched request that the front did not send. */
export function refuseWithheld(
  state: Extract<DispatchedState, {readonly kind: 'dispatched'}>,
  _end: Extract<StreamEnd, {readonly kind: 'withheld'}>,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  return createNotRunRefusal(state.request.id, reason, retryAfterMs);
}

function createNotRunRefusal(
  request: RequestId,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  const refusal = {
    request,
    reason,
    notRun: true,
    retryAfterMs: jitterRetryAfter(request, retryAfterMs),
  } as const;
  return refusal as NotRunRefusal;
}

/** Fails a request that may have run. */
export function failDispatched(
  request: RequestId,
  reason: RefusalReason,
  retryAfterMs: number | null = null,
): DispatchedRefusal {
  return {
    request,
    reason,
    notRun: false,
    retryAfterMs: jitterRetryAfter(request, retryAfterMs),
  };
}

/** Adds jitter, so that callers refused together do not retry together. */
function jitterRetryAfter(
  request: RequestId,
  retryAfterMs: number | null,
): number | null {
  return retryAfterMs === null
    ? null
    : jitterDelay({baseMs: retryAfterMs, key: request});
}

/** How a request ended, for counts and logs. */
export type RequestEnd =
  | {readonly kind: 'answered'}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'abandonedWaiting'}
  | {
      readonly kind: 'abandonedRunning';
      /** Whether the prompt was processed when the caller disconnected. */
      readonly prefilled: boolean;
    }
  /** Answered with the stored outcome of an earlier request. */
  | {readonly kind: 'repeated'; readonly outcome: ClaimOutcome};
