import type {Refusal, RefusalReason} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

/** A problem document (RFC 9457) as callers receive it. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  /** Whether the request is guaranteed not to have run. */
  readonly notRun: boolean;
  /** Delay before a retry, or `null` if a retry is of no use. */
  readonly retryAfterMs: number | null;
  readonly detail: string | null;
  /** Other entries that may accept the request. */
  readonly addresses: readonly CallerAddress[];
}

/** The address of an entry for callers. */
export interface CallerAddress {
  readonly url: string;
  readonly domain: string;
}

/** Media type of problem documents. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

interface ProblemSummary {
  readonly status: number;
  readonly title: string;
  readonly detail?: string;
}

/** Converts a refusal to a problem document. */
export function toProblem(
  refusal: Refusal,
  addresses: readonly CallerAddress[] = [],
): ProblemDocument {
  const summary = describeReason(refusal.reason);
  return {
    type: `urn:gentianshunt:problem:${refusal.reason.kind}`,
    title: summary.title,
    status: summary.status,
    notRun: refusal.notRun,
    retryAfterMs: refusal.retryAfterMs,
    detail: summary.detail ?? null,
    addresses,
  };
}

/** Creates the problem document for a request that could not be parsed. */
export function createBadRequestProblem(
  status: number,
  detail: string,
): ProblemDocument {
  return {
    type: 'urn:gentianshunt:problem:badRequest',
    title: 'The request could not be read',
    status,
    notRun: true,
    retryAfterMs: null,
    detail,
    addresses: [],
  };
}

function describeReason(reason: RefusalReason): ProblemSummary {
  switch (reason.kind) {
    case 'shed':
      return {status: 503, title: 'Capacity is short for this tier'};
    case 'organisationLimit':
      return {status: 429, title: 'The organisation is at its limit'};
    case 'unknownOrganisation':
      return {status: 403, title: 'The organisation is unknown'};
    case 'unknownTier':
      return {status: 403, title: 'The organisation may not use this tier'};
    case 'unknownSet':
      return {status: 404, title: 'The endpoint set is unknown'};
    case 'unknownKind':
      return {status: 400, title: 'The kind of request is unknown'};
    case 'missingIdempotencyKey':
      return {status: 400, title: 'This kind needs an Idempotency-Key'};
    case 'idempotencyKeyReused':
      return {
        status: 422,
        title: 'The Idempotency-Key belongs to another request',
      };
    case 'outcomeUnknown':
      return {
        status: 409,
        title: 'An earlier run of this request ended with unknown outcome',
      };
    case 'noLease':
      return {status: 503, title: 'This entry has no current configuration'};
    case 'draining':
      return {status: 503, title: 'This entry is shutting down'};
    case 'overloaded':
      return {status: 503, title: 'This entry is overloaded'};
    case 'memoryFull':
      return {status: 503, title: 'This entry has no memory for the request'};
    case 'noConfiguration':
      return {status: 503, title: 'This entry has no configuration yet'};
    case 'unknownRoute':
      return {status: 404, title: 'No route leads there'};
    case 'unknownKey':
      return {status: 401, title: 'The key is unknown'};
    case 'allotmentUsed':
      return {status: 429, title: 'The token allotment is used up'};
    case 'promptQuarantined':
      return {
        status: 503,
        title: 'A part of the prompt has ended several endpoints',
      };
    case 'requestQuarantined':
      return {
        status: 503,
        title: 'Requests like this one have ended several endpoints',
      };
    case 'streamOriginUnknown':
      return {
        status: 503,
        title: 'What began the stream is not known, so it cannot go on',
      };
    case 'quotaUndecided':
      return {status: 503, title: 'The token quota cannot be checked now'};
    case 'timeLimit':
      return {status: 504, title: 'The time limit has passed'};
    case 'claimsUnavailable':
      return {status: 503, title: 'Idempotency keys cannot be claimed now'};
    case 'endpointFailed':
      return {
        status: 502,
        title: 'The endpoint did not answer',
        detail: reason.detail,
      };
    case 'answerCut':
      return {
        status: 502,
        title: 'The answer was cut off',
        detail: reason.detail,
      };
    default:
      return assertNever(reason, 'describeReason');
  }
}
