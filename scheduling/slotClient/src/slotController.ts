import type {TurnTime} from '@gentianshunt/board';
import {
  ANY_ORGANISATION,
  defineEntryController,
  isLeaveKnowledgeCurrent,
  isQueued,
  iterateQueues,
  pickQueueKey,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  GrantReply,
  QueueKey,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, RequestId} from '@gentianshunt/identifiers';

import {createCandidatePicker} from './candidatePicker.js';
import {findMixedList, matchContinuations} from './continuations.js';
import {listCandidates} from './dispatchOrder.js';
import {matchToFallback} from './matchToFallback.js';
import {createOpenReader, matchToOpen} from './matchToOpen.js';
import type {OpenTargets} from './openTargets.js';
import {releaseSlots} from './reusedSlots.js';
import {createSlotDraft, hasLimits, isUnusable} from './slotDraft.js';
import type {SlotDraft} from './slotDraft.js';
import {createSlotPicker} from './slotPicker.js';
import {SLOT_READS, SLOT_WRITES} from './slotView.js';
import type {
  KeyedSlot,
  SlotReads,
  SlotView,
  SlotWrite,
  SlotWrites,
} from './slotView.js';
import {isLimited as isEndpointLimited} from './ungrantedUse.js';

/** Creates the controller that stores slots and matches them to requests. */
export function createSlotController(): EntryController {
  return defineEntryController<SlotReads, SlotWrites>({
    name: 'slots',
    reads: SLOT_READS,
    writes: SLOT_WRITES,
    observes: ['timerDue', 'streamEnded', 'callerGone'],
    run: (view, now) => [
      ...dropUsedMatches(view),
      ...dropExpiredSlots(view, now),
      ...dropUnusableSlots(view, now),
      ...matchGrants(view, now),
      ...matchToFallback(view, now),
    ],
  });
}

/** Deletes the matches of requests that are no longer waiting. */
function dropUsedMatches(view: SlotView): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  for (const key of view.readChanges('requests')) {
    const request = key as RequestId;
    const state = view.board.requests.get(request);
    const isWaiting = state !== undefined && isQueued(state);
    if (!isWaiting && view.board.matches.has(request)) {
      writes.push({kind: 'delete', section: 'matches', key: request});
    }
  }
  return writes;
}

function dropExpiredSlots(view: SlotView, now: TurnTime): readonly SlotWrite[] {
  const {observation} = view;
  if (
    observation?.kind !== 'timerDue' ||
    observation.timer.kind !== 'housekeeping'
  ) {
    return [];
  }
  const writes: SlotWrite[] = [];
  for (const {key, value} of view.board.slots.iterateFrom()) {
    if (value.deadline <= now.monotonic) {
      writes.push({kind: 'delete', section: 'slots', key});
    }
  }
  return writes;
}

/** Deletes the slots at endpoints that left or want nothing now. */
function dropUnusableSlots(
  view: SlotView,
  now: TurnTime,
): readonly SlotWrite[] {
  const isChanged =
    view.readChanges('withdrawnEndpoints').size > 0 ||
    view.readChanges('pausedEndpoints').size > 0 ||
    view.readChanges('reach').size > 0;
  if (!isChanged) {
    return [];
  }
  return Array.from(view.board.slots.iterateFrom())
    .filter(({value}) => isUnusable(view, value.grant.target, now))
    .map(({key}) => ({kind: 'delete', section: 'slots', key}));
}

/** Matches requests in the queues that gained requests or capacity. */
function matchGrants(view: SlotView, now: TurnTime): readonly SlotWrite[] {
  const reply =
    view.readChanges('acceptedReply').size > 0
      ? view.board.acceptedReply
      : null;
  const released = releaseSlots(
    view,
    {
      hasLimits: queue => hasLimits(view, queue),
      isUnusable: target =>
        isUnusable(view, target, now) ||
        isEndpointLimited(view.board, target.endpoint, now),
    },
    now,
  );
  const granted = reply === null ? [] : toSlots(view, reply, now);
  const newSlots = [...granted, ...released.reused];
  const draft = createSlotDraft(view, newSlots, now);
  const readOpen = createOpenReader(view, now);
  // An entry that may have missed leaves keeps new slots until it has caught up.
  const queues = isLeaveKnowledgeCurrent(view.board, now)
    ? listChangedQueues(view, newSlots)
    : [];
  const matches = queues.flatMap(queue =>
    matchQueue(view, queue, draft, readOpen(queue.set), now),
  );
  const unstored = new Set(
    [...released.reused, ...listUnkept(reply, granted)].map(
      ({key}) => key.grant,
    ),
  );
  return [...released.writes, ...matches, ...draft.listWrites(unstored)];
}

/**
 * Lists the granted slots that are not kept for later requests: those for queues
 * that have become empty, while requests at other entries wait.
 */
function listUnkept(
  reply: GrantReply | null,
  granted: readonly KeyedSlot[],
): readonly KeyedSlot[] {
  return reply === null || reply.waitingRank === null
    ? []
    : granted.filter(({key}) => key.organisation !== ANY_ORGANISATION);
}

function listChangedQueues(
  view: SlotView,
  newSlots: readonly KeyedSlot[],
): readonly QueueKey[] {
  const queues = new Map<string, QueueKey>();
  const addQueue = (queue: QueueKey): void => {
    queues.set(`${queue.set}/${queue.rank}/${queue.organisation}`, queue);
  };
  for (const key of view.readChanges('waiting')) {
    addQueue(pickQueueKey(key as QueueKey));
  }
  if (view.readChanges('leaveCatchUp').size > 0) {
    for (const {key} of view.board.queues.iterateFrom()) {
      addQueue(key);
    }
  }
  for (const set of view.readChanges('openCapacities')) {
    for (const {key} of iterateQueues(
      view.board.queues,
      set as EndpointSetId,
    )) {
      addQueue(key);
    }
  }
  for (const set of view.readChanges('knownEndpoints')) {
    for (const {key} of iterateQueues(
      view.board.queues,
      set as EndpointSetId,
    )) {
      addQueue(key);
    }
  }
  for (const {key} of newSlots) {
    if (key.organisation !== ANY_ORGANISATION) {
      addQueue(pickQueueKey(key));
      continue;
    }
    for (const queue of iterateQueues(view.board.queues, key.set)) {
      if (queue.key.rank === key.rank) {
        addQueue(queue.key);
      }
    }
  }
  return [...queues.values()];
}

function toSlots(
  view: SlotView,
  reply: GrantReply,
  now: TurnTime,
): readonly KeyedSlot[] {
  const sentAt = view.board.demandReporting.get(reply.set)?.sentAt ?? 0;
  // The leader counts the lifetime from when it sends the reply, and
  // `reportAgeMs` from when it received the report. Counting both from when the
  // report was sent keeps this deadline from being later than the leader's,
  // however long the messages were delayed.
  const grantedAt = sentAt + reply.reportAgeMs;
  const deadline = grantedAt + reply.lifetimeMs;
  const usable = reply.grants.filter(
    ({target}) => !isUnusable(view, target, now),
  );
  return usable.map(grant => ({
    key: {
      set: reply.set,
      rank: grant.rank,
      organisation: grant.organisation,
      grant: grant.id,
    },
    slot: {
      set: reply.set,
      epoch: reply.epoch,
      grant,
      remaining: grant.count,
      grantedAt,
      deadline,
    },
  }));
}

function matchQueue(
  view: SlotView,
  queue: QueueKey,
  draft: SlotDraft,
  open: OpenTargets,
  now: TurnTime,
): readonly SlotWrite[] {
  const usable = draft.listUsable(queue);
  const isLimitedQueue = hasLimits(view, queue);
  const mixed = isLimitedQueue ? undefined : findMixedList(view, queue.set);
  if (usable.length === 0 && !open.hasCapacity() && mixed === undefined) {
    return [];
  }
  const waiting = createCandidatePicker(
    listCandidates(view.board, queue, now).map(({request}) => request),
  );
  const writes =
    mixed === undefined
      ? []
      : [...matchContinuations(view, mixed, waiting, now)];
  const slots = createSlotPicker(usable, draft.readRemaining, now);
  waiting.takeAll(request => {
    const picked = slots.pick(request);
    if (picked === undefined) {
      return undefined;
    }
    const {key, slot, isReturning = false} = picked;
    const {id: grant, target} = slot.grant;
    const {deadline, grantedAt: stateAt} = slot;
    draft.spend(key);
    const value = {grant, target, stateAt, deadline};
    const used = {
      set: queue.set,
      organisation: queue.organisation,
      target,
      grantedAt: stateAt,
      usedAt: now.monotonic,
      isReturning,
    };
    writes.push(
      {kind: 'put', section: 'matches', key: request.id, value},
      {kind: 'put', section: 'usedSlots', key: request.id, value: used},
    );
    return target;
  });
  return isLimitedQueue
    ? writes
    : [...writes, ...matchToOpen(queue.set, waiting.listRest(), open, now)];
}
