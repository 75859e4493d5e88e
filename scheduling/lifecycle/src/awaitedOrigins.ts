/** Requests that wait until it is known what began the stream they take up. */
import type {TurnTime} from '@gentianshunt/board';
import {refuseNotRun} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {RequestId} from '@gentianshunt/identifiers';

import {addWithOrigin} from './addToQueue.js';
import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Enqueues the requests whose origin was found, and refuses the others. */
export function handleAwaitedOrigins(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const key of view.readChanges('originInquiries')) {
    const id = key as RequestId;
    const inquiry = view.board.originInquiries.get(id);
    const state = draft.read(id);
    if (inquiry === undefined || state?.kind !== 'awaitingOrigin') {
      continue;
    }
    const {outcome} = inquiry;
    switch (outcome.kind) {
      case 'open':
        break;
      case 'found': {
        const {origin} = outcome;
        addWithOrigin(view, draft, {...state.request, origin}, now);
        break;
      }
      case 'unknown': {
        const reason = {kind: 'streamOriginUnknown'} as const;
        const refusal = refuseNotRun(state, reason, TRANSIENT_RETRY_AFTER_MS);
        draft.addEffect({kind: 'refuseCaller', refusal});
        endRequest(draft, state, {kind: 'refused', refusal}, now);
        break;
      }
      default:
        assertNever(outcome, 'handleAwaitedOrigins');
    }
  }
}
