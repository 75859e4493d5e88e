/** Requests that wait for the permission to test what was quarantined. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {refuseNotRun} from '@gentianshunt/entryModel';
import type {AdmittedRequest} from '@gentianshunt/entryModel';

import {endRequest} from './endRequest.js';
import {addToQueue} from './addToQueue.js';
import {findRequestRefusal} from './quarantinedRequests.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Longest wait of a request for the permission. */
const TEST_PERMISSION_TIMEOUT_MS: Milliseconds = 1_000;

/** Lets a request wait for the permission, for which this entry has asked. */
export function awaitTest(
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  draft.move({kind: 'awaitingTest', request});
  draft.putAwaitedTest(request.id, now.monotonic + TEST_PERMISSION_TIMEOUT_MS);
}

/** Enqueues the requests that have the permission, and refuses those without. */
export function handleAwaitedTests(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const [id, until] of view.board.awaitedTests) {
    const state = draft.read(id);
    if (state?.kind !== 'awaitingTest') {
      continue;
    }
    const {request} = state;
    const found = findRequestRefusal(view, request, now);
    if (found === undefined) {
      addToQueue(view, draft, request, now);
    } else if (!found.mayTest || until <= now.monotonic) {
      const refusal = refuseNotRun(state, found.reason, found.retryAfterMs);
      draft.addEffect({kind: 'refuseCaller', refusal});
      endRequest(draft, state, {kind: 'refused', refusal}, now);
    }
  }
}
