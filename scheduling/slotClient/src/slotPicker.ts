import type {TurnTime} from '@gentianshunt/board';
import {canServe} from '@gentianshunt/entryModel';
import type {AdmittedRequest, SlotKey} from '@gentianshunt/entryModel';

import {scorePartAffinity} from './partAffinity.js';
import type {KeyedSlot} from './slotView.js';

/** Picks slots for requests one after the other. */
export interface SlotPicker {
  /** Picks the slot that fits a request best; it must be spent before the next. */
  pick(request: AdmittedRequest): KeyedSlot | undefined;
}

/**
 * Creates a picker over the slots of a queue. The slots of the queue itself come
 * before those for any organisation; among these the endpoint decides that keeps
 * the parts of the prompt.
 */
export function createSlotPicker(
  slots: readonly KeyedSlot[],
  readRemaining: (key: SlotKey) => number,
  now: TurnTime,
): SlotPicker {
  let open = slots.filter(({slot}) => slot.deadline > now.monotonic);
  return {
    pick: request => {
      open = open.filter(({key}) => readRemaining(key) > 0);
      const fitting = open.filter(({slot}) =>
        canServe(slot.grant.target, request),
      );
      const [first, second] = fitting;
      return first === undefined || second === undefined
        ? first
        : pickBest(
            request,
            fitting.filter(
              ({key}) => key.organisation === first.key.organisation,
            ),
          );
    },
  };
}

function pickBest(
  request: AdmittedRequest,
  slots: readonly KeyedSlot[],
): KeyedSlot | undefined {
  let best = slots[0];
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const keyed of slots) {
    const score = scorePartAffinity(request, keyed.slot.grant.target);
    if (score > bestScore) {
      best = keyed;
      bestScore = score;
    }
  }
  return best;
}
