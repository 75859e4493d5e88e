import type {
  AdmittedRequest,
  Dispatch,
  StreamEnd,
} from '@gentianshunt/entryModel';

import type {AnswerAttributes, AnswerHead} from './callProtocol.js';
import type {OpenCall} from './callTable.js';
import {findHeader} from './headers.js';

/** How an answer is handled, decided from its status and headers. */
export type AnswerAction =
  | {readonly kind: 'pass'}
  | {readonly kind: 'foreign'}
  /** Its status is none of HTTP; nothing in it can be trusted. */
  | {readonly kind: 'malformed'; readonly detail: string}
  | {readonly kind: 'ended'; readonly end: StreamEnd};

/** Statuses that promise the caller that its call has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_SERVER_ERROR = 500;
const FIRST_REDIRECT = 300;
/** First number that is no status of HTTP (RFC 9110, section 15). */
const FIRST_INVALID = 600;
const CONTENT_TYPE = 'content-type';

/** Decides how an answer is handled. */
export function decideAnswerAction(
  attributes: AnswerAttributes,
  call: OpenCall,
  request: AdmittedRequest,
  dispatch: Dispatch,
  head: AnswerHead,
): AnswerAction {
  const {status} = head;
  if (status >= FIRST_INVALID) {
    return {kind: 'malformed', detail: `status ${status}`};
  }
  // An endpoint may repeat any answer to an earlier call, also a refusal.
  if (attributes.call !== null && attributes.call !== request.id) {
    return {kind: 'foreign'};
  }
  if (attributes.isNotExecuted) {
    const detail = `not executed, status ${status}`;
    return {kind: 'ended', end: {kind: 'notExecuted', detail}};
  }
  const isSuccess = status < FIRST_REDIRECT;
  const failed = {kind: 'ended', end: {kind: 'failed', status}} as const;
  if (call.response.headersSent && !isContinuation(call, head)) {
    return failed;
  }
  if (isSuccess) {
    return attributes.isAuthentic ? {kind: 'pass'} : failed;
  }
  const isFailure =
    status >= FIRST_SERVER_ERROR || NOT_RUN_STATUSES.has(status);
  const isWithheld = dispatch.isRetryable === true && isFailure;
  // To the caller such a status means that the call has not run, which the
  // endpoint has not promised.
  return isWithheld || NOT_RUN_STATUSES.has(status) ? failed : {kind: 'pass'};
}

/**
 * Returns whether an answer may continue the stream whose head the caller has
 * received: only an answer of the same kind contains further events.
 */
function isContinuation({sentHead}: OpenCall, head: AnswerHead): boolean {
  return (
    sentHead !== null &&
    head.status === sentHead.status &&
    findHeader(head.headers, CONTENT_TYPE) ===
      findHeader(sentHead.headers, CONTENT_TYPE)
  );
}
