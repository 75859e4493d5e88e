/** The slots of an entry while a turn matches requests to them. */
import type {TurnTime} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import {
  ANY_ORGANISATION,
  isIsolated,
  isSameQueue,
  iterateQueueSlots,
} from '@gentianshunt/entryModel';
import type {
  EndpointTarget,
  QueueKey,
  Slot,
  SlotKey,
} from '@gentianshunt/entryModel';
import type {GrantId} from '@gentianshunt/identifiers';
import {isLimited} from '@gentianshunt/limits';

import {isPaused} from './pauseController.js';
import type {KeyedSlot, SlotView, SlotWrite} from './slotView.js';

/**
 * The slots during one run of the controller, less those matched so far. The
 * queues of a tier share the slots that any organisation may use.
 */
export interface SlotDraft {
  /**
   * Lists the slots that a queue may use: its own first, then those for any
   * organisation.
   */
  listUsable(queue: QueueKey): readonly KeyedSlot[];
  readRemaining(key: SlotKey): number;
  spend(key: SlotKey): void;
  /** Lists the changed slots, without those of some grants. */
  listWrites(unstored: ReadonlySet<GrantId>): readonly SlotWrite[];
}

/** Creates the draft with slots that are not stored yet. */
export function createSlotDraft(
  view: SlotView,
  newSlots: readonly KeyedSlot[],
  now: TurnTime,
): SlotDraft {
  const changed = new Map<GrantId, KeyedSlot>();
  newSlots.forEach(added => changed.set(added.key.grant, added));
  const read = (key: SlotKey): Slot | undefined =>
    changed.get(key.grant)?.slot ?? view.board.slots.get(key);
  const listQueueSlots = (queue: QueueKey): readonly KeyedSlot[] => [
    ...[...iterateQueueSlots(view.board.slots, queue)]
      .filter(({value}) => !isUnusable(view, value.grant.target, now))
      .map(({key, value}): KeyedSlot => ({key, slot: value})),
    ...newSlots.filter(({key}) => isSameQueue(key, queue)),
  ];
  return {
    listUsable: queue =>
      hasLimits(view, queue)
        ? listQueueSlots(queue)
        : [
            ...listQueueSlots(queue),
            ...listQueueSlots({...queue, organisation: ANY_ORGANISATION}),
          ],
    readRemaining: key => read(key)?.remaining ?? 0,
    spend: key => {
      const slot = read(key)!;
      const remaining = slot.remaining - 1;
      changed.set(key.grant, {key, slot: {...slot, remaining}});
    },
    listWrites: unstored =>
      [...changed.values()]
        .filter(({key}) => !unstored.has(key.grant))
        .map(({key, slot}) =>
          slot.remaining === 0
            ? {kind: 'delete', section: 'slots', key}
            : {kind: 'put', section: 'slots', key, value: slot},
        ),
  };
}

/**
 * Returns whether the organisation of a queue has limits. Its requests use no
 * slots for any organisation, because the leader enforces the limits by
 * counting the grants to this organisation.
 */
export function hasLimits(view: SlotView, queue: QueueKey): boolean {
  const {configuration} = view.board;
  const organisation = findObject(
    configuration,
    'organisation',
    queue.organisation,
  );
  return organisation !== undefined && isLimited(organisation.limits);
}

/** Returns whether an endpoint left, wants nothing now, or can't be reached. */
export function isUnusable(
  {board}: SlotView,
  {endpoint}: EndpointTarget,
  now: TurnTime,
): boolean {
  return (
    board.withdrawnEndpoints.has(endpoint) ||
    isPaused(board, endpoint, now) ||
    isIsolated(board.reach)
  );
}
