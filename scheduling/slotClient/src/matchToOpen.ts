/** Matches requests to capacity that may be used without a slot. */
import type {TurnTime} from '@gentianshunt/board';
import type {AdmittedRequest} from '@gentianshunt/entryModel';
import type {EndpointSetId, GrantId} from '@gentianshunt/identifiers';

import {createOpenTargets} from './openTargets.js';
import type {OpenTargets} from './openTargets.js';
import {UNGRANTED_LIFETIME_MS} from './slotView.js';
import type {SlotView, SlotWrite} from './slotView.js';

/** Matches requests for which there is no slot to open capacity. */
export function matchToOpen(
  set: EndpointSetId,
  waiting: readonly AdmittedRequest[],
  open: OpenTargets,
  now: TurnTime,
): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  for (const request of waiting) {
    const target = open.take(request);
    if (target === undefined) {
      continue;
    }
    const value = {
      grant: `${set}.open` as GrantId,
      target,
      stateAt: now.monotonic,
      deadline: now.monotonic + UNGRANTED_LIFETIME_MS,
    };
    writes.push({kind: 'put', section: 'matches', key: request.id, value});
  }
  return writes;
}

/** Creates a reader of open capacity that queues of a set share in a turn. */
export function createOpenReader(
  view: SlotView,
  now: TurnTime,
): (set: EndpointSetId) => OpenTargets {
  const known = new Map<EndpointSetId, OpenTargets>();
  return set => {
    const open = known.get(set) ?? createOpenTargets(view.board, set, now);
    known.set(set, open);
    return open;
  };
}
