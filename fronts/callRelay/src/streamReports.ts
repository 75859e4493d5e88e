/** Posts what an endpoint's answer shows while it arrives. */
import {hasSignals, isBrittle} from '@gentianshunt/entryModel';
import type {AdmittedRequest, Dispatch} from '@gentianshunt/entryModel';

import type {AnswerAttributes} from './callProtocol.js';
import {UnboundedAnswerError} from './droppedBody.js';
import type {EndpointStreamOptions} from './endpointStreamOptions.js';

/** Shortest time between two reports of the token count of a stream. */
const TOKEN_REPORT_INTERVAL_MS = 250;

/** Posts what an endpoint states about itself, and when it ceases to. */
export function reportSignals(
  {view, post}: EndpointStreamOptions,
  request: AdmittedRequest,
  {target: {endpoint}}: Dispatch,
  {call, signals}: AnswerAttributes,
): void {
  const known = view.namedLimits.get(endpoint);
  const hasLimit = (known?.perSecond ?? null) !== null || isBrittle(known);
  const isNews = hasSignals(signals) || hasLimit;
  if (call === request.id && isNews) {
    const {set} = request;
    post({kind: 'endpointSignalled', set, endpoint, signals});
  }
}

/**
 * Reports the first byte, and at intervals how many chunks have arrived; each
 * chunk counts as one token.
 */
export function createTokenReporter(
  {clock, post}: EndpointStreamOptions,
  {id: dispatch}: Dispatch,
): () => void {
  let reportedAt: number | undefined;
  let chunks = 0;
  return () => {
    const now = clock.readMonotonic();
    chunks += 1;
    if (reportedAt === undefined) {
      post({kind: 'streamStarted', dispatch});
    } else if (now - reportedAt < TOKEN_REPORT_INTERVAL_MS) {
      return;
    }
    reportedAt = now;
    post({kind: 'tokensStreamed', dispatch, answerTokens: chunks});
  };
}

/** Reports answers of an endpoint that do not end within their bounds. */
export function createUnboundedReporter(
  {onStep}: EndpointStreamOptions,
  {target}: Dispatch,
): (step: string, detail: string) => void {
  return (step, detail) => {
    const error = new UnboundedAnswerError(step, target.url, detail);
    onStep({kind: 'answerUnbounded', error});
  };
}
