import type {TurnTime} from '@gentianshunt/board';
import type {AdmittedRequest} from '@gentianshunt/entryModel';

import {consumeQuota, hasQuota} from './quota.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {refillRetryBudget} from './retries.js';

/**
 * Adds an admitted request to its queue, once it is known what began the stream
 * that it takes up, and the token quota of its organisation has covered it, if
 * there is any.
 */
export function addToQueue(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const admitted = addOrigin(view, request);
  if (admitted === undefined) {
    draft.move({kind: 'awaitingOrigin', request});
    return;
  }
  addWithOrigin(view, draft, admitted, now);
}

/** Adds a request to its queue of which it is known what began its stream. */
export function addWithOrigin(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  refillRetryBudget(view, draft, request, now);
  if (hasQuota(view, request)) {
    consumeQuota(view, draft, request, now);
  } else {
    draft.move({kind: 'waiting', request});
  }
}

/** Adds what began the stream; `undefined` if this entry does not know it. */
function addOrigin(
  {board: {streamOrigins}}: LifecycleView,
  request: AdmittedRequest,
): AdmittedRequest | undefined {
  const {resumed, set} = request;
  if (resumed === undefined) {
    return request;
  }
  const known =
    resumed.attempt === null ? undefined : streamOrigins.get(resumed.attempt);
  return known?.set === set
    ? {...request, origin: {software: known.software}}
    : undefined;
}
