import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {spreadDelay} from '@gentianshunt/hashing';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  GrantId,
  OrganisationId,
  RequestId,
  RequestKindId,
  RouteId,
  TierId,
} from '@gentianshunt/identifiers';

import type {StreamEnd} from './observation.js';

/** A non-idempotent request's key and the digest of its content. */
export interface ClaimFacts {
  readonly idempotencyKey: string;
  readonly digest: string;
}

/** How a call to a route is handled. */
export interface RouteTerms {
  readonly route: RouteId;
  /** Most endpoints to which the call is dispatched. */
  readonly maxAttempts: number;
  /** Time from its arrival after which it gets its final answer. */
  readonly timeLimitMs: Milliseconds;
  /** Time to the first byte that the caller expects. */
  readonly objectiveMs: Milliseconds;
  /** Time without a byte after which the caller leaves. */
  readonly patienceMs: Milliseconds;
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean;
  readonly isStream: boolean;
  /** Tokens that count against the allotment of the organisation. */
  readonly allotmentTokens: number;
}

/** What is known of a request once it has been read and checked. */
export interface RequestFacts {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  /** The wanted tier; `null` asks for the default of the organisation. */
  readonly tier: TierId | null;
  readonly set: EndpointSetId;
  readonly kind: RequestKindId;
  /** Present when the kind is non-idempotent. */
  readonly claim: ClaimFacts | null;
  /** Estimated length of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Most tokens the answer may have. */
  readonly maxTokens: number;
  /** Hash of the prompt's leading part, for prefix caches. */
  readonly prefix: string | null;
  /** Left out for a request that names its set itself. */
  readonly terms?: RouteTerms;
}

/** Facts completed from the configuration when the request is admitted. */
export interface AdmittedRequest extends RequestFacts {
  readonly tier: TierId;
  readonly rank: number;
  /** Weight of the kind times the weight of the tier. */
  readonly value: number;
  readonly arrivedAt: MonotonicTime;
  /** Whether a call to a route may run more than once. */
  readonly isIdempotent?: boolean;
  /** Whether it waited past its objective and stands behind its tier. */
  readonly isLate?: boolean;
  /** Endpoints to which it was dispatched before, the latest last. */
  readonly tried?: readonly EndpointId[];
  /** Dispatches among them of which no byte left this process. */
  readonly unsent?: number;
}

/** An endpoint as a dispatch needs it. */
export interface EndpointTarget {
  readonly endpoint: EndpointId;
  /** Base URL of the endpoint. */
  readonly url: string;
}

/** One dispatch of a request; there is at most one at a time. */
export interface Dispatch {
  readonly id: DispatchId;
  readonly grant: GrantId;
  readonly target: EndpointTarget;
  readonly at: MonotonicTime;
  /** Whether another dispatch may follow if the endpoint fails. */
  readonly isRepeatable?: boolean;
}

/** A request that still may be refused as not run. */
export type UndispatchedState =
  | {
      readonly kind: 'waiting';
      readonly request: AdmittedRequest;
      /** Present when the claim on its key is already held. */
      readonly holdsClaim?: true;
    }
  | {
      /** Holds a slot while the claim on its key is being committed. */
      readonly kind: 'claiming';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
      /** The slot's deadline; past it the dispatch must not start. */
      readonly deadline: MonotonicTime;
    }
  | {
      /** Waits until the allotment of its organisation covers it. */
      readonly kind: 'awaitingAllotment';
      readonly request: AdmittedRequest;
    }
  | {
      /** Another run holds the key; this one awaits its outcome. */
      readonly kind: 'awaitingOutcome';
      readonly request: AdmittedRequest;
    };

/** Waits for another endpoint after a dispatch that may have run. */
export interface RepeatingState {
  readonly kind: 'repeating';
  readonly request: AdmittedRequest;
}

/** What both states after the dispatch know. */
interface DispatchedFacts {
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  /** When the endpoint counts as silent unless it delivers before. */
  readonly silentAt: MonotonicTime;
  /** How often the stream has been resumed. */
  readonly resumes: number;
  /** Whether an earlier dispatch of the request may have run. */
  readonly mayHaveRun?: boolean;
}

/** A request whose first byte may have reached an endpoint. */
export type DispatchedState =
  | (DispatchedFacts & {readonly kind: 'dispatched'})
  | (DispatchedFacts & {
      readonly kind: 'answering';
      readonly firstTokenAt: MonotonicTime;
    });

/** The states in which a request stands in its line. */
export type QueuedState =
  Extract<UndispatchedState, {readonly kind: 'waiting'}> | RepeatingState;

/** Tells whether a request stands in its line. */
export function isQueued(state: RequestState): state is QueuedState {
  return state.kind === 'waiting' || state.kind === 'repeating';
}

/** The states of a live request; an ended one leaves the board. */
export type RequestState = UndispatchedState | RepeatingState | DispatchedState;

/** Why the system refused a request. */
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
  | {readonly kind: 'claimsUnavailable'}
  | {readonly kind: 'noConfiguration'}
  | {readonly kind: 'unknownRoute'}
  | {readonly kind: 'unknownKey'}
  | {readonly kind: 'allotmentUsed'}
  | {readonly kind: 'timeLimit'}
  | {readonly kind: 'endpointFailed'; readonly detail: string}
  | {readonly kind: 'answerCut'; readonly detail: string};

interface RefusalFacts {
  readonly request: RequestId;
  readonly reason: RefusalReason;
  /** When the caller may try again; `null` when trying again is no use. */
  readonly retryAfterMs: number | null;
}

declare const notRunProof: unique symbol;

/**
 * Promises that no endpoint has seen the request. Only the functions of this
 * module build one, and they ask for a state or an event that shows it.
 */
export interface NotRunRefusal extends RefusalFacts {
  readonly notRun: true;
  readonly [notRunProof]: true;
}

/** Tells of a request that, or an earlier run of which, may have run. */
export interface DispatchedRefusal extends RefusalFacts {
  readonly notRun: false;
}

/** A refusal, which says whether the request may have run. */
export type Refusal = NotRunRefusal | DispatchedRefusal;

/** Refuses a request that has not been dispatched. */
export function refuseNotRun(
  state: UndispatchedState,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  return createNotRun(state.request.id, reason, retryAfterMs);
}

/** Refuses a request that was never admitted. */
export function refuseUnadmitted(
  facts: Pick<RequestFacts, 'id'>,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  return createNotRun(facts.id, reason, retryAfterMs);
}

/** Refuses a request that the endpoint says it has not run. */
export function refuseNotExecuted(
  state: Extract<DispatchedState, {readonly kind: 'dispatched'}>,
  end: Extract<StreamEnd, {readonly kind: 'notExecuted'}>,
  retryAfterMs: number | null,
): NotRunRefusal {
  const reason = {kind: 'endpointFailed', detail: end.detail} as const;
  return createNotRun(state.request.id, reason, retryAfterMs);
}

/** Refuses a dispatched request of which no byte left this process. */
export function refuseUnsent(
  state: Extract<DispatchedState, {readonly kind: 'dispatched'}>,
  end: Extract<StreamEnd, {readonly kind: 'notSent'}>,
  retryAfterMs: number | null,
): NotRunRefusal {
  const reason = {kind: 'endpointFailed', detail: end.detail} as const;
  return createNotRun(state.request.id, reason, retryAfterMs);
}

function createNotRun(
  request: RequestId,
  reason: RefusalReason,
  retryAfterMs: number | null,
): NotRunRefusal {
  const refusal = {
    request,
    reason,
    notRun: true,
    retryAfterMs: spreadRetryAfter(request, retryAfterMs),
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
    retryAfterMs: spreadRetryAfter(request, retryAfterMs),
  };
}

/** Callers refused together are asked to come back at different times. */
function spreadRetryAfter(
  request: RequestId,
  retryAfterMs: number | null,
): number | null {
  return retryAfterMs === null
    ? null
    : spreadDelay({baseMs: retryAfterMs, key: request});
}

/** How a request's life ended, for counts and reports. */
export type RequestEnd =
  | {readonly kind: 'answered'}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'abandonedWaiting'}
  | {
      readonly kind: 'abandonedRunning';
      /** Whether the prompt had been processed when the caller left. */
      readonly prefilled: boolean;
    }
  | {readonly kind: 'repeated'; readonly outcome: ClaimOutcome};
