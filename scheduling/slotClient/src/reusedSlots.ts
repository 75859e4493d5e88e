import type {TurnTime} from '@gentianshunt/board';
import {isModelSet} from '@gentianshunt/configuration';
import {iterateQueues, iterateWaiting} from '@gentianshunt/entryModel';
import type {QueueKey, UsedSlot} from '@gentianshunt/entryModel';
import type {GrantId, RequestId} from '@gentianshunt/identifiers';
import {hashToFraction} from '@gentianshunt/hashing';
import {decideReuse} from '@gentianshunt/policy';
import type {ReuseDecision} from '@gentianshunt/policy';

import {listFailing} from './openTargets.js';
import {UNGRANTED_LIFETIME_MS} from './slotView.js';
import type {KeyedSlot, SlotView, SlotWrite} from './slotView.js';

/** What became of the slots whose requests no longer occupy them. */
export interface ReleasedSlots {
  /** Slots for waiting requests of this entry; only matched ones are stored. */
  readonly reused: readonly KeyedSlot[];
  readonly writes: readonly SlotWrite[];
}

/** Options of the search for slots that are used again. */
export interface ReuseOptions {
  /** Returns whether the entry enforces limits of a queue's organisation. */
  readonly hasLimits: (queue: QueueKey) => boolean;
  /** Returns whether an endpoint left or wants nothing now. */
  readonly isUnusable: (target: UsedSlot['target']) => boolean;
}

/**
 * Releases the slots of requests that have ended. One whose request ended in
 * order goes to the request of this entry that has waited longest in the highest
 * tier, if `decideReuse` allows it.
 */
export function releaseSlots(
  view: SlotView,
  options: ReuseOptions,
  now: TurnTime,
): ReleasedSlots {
  const released = listReleased(view);
  const isOrderly = hasEndedInOrder(view);
  const taken = new Map<string, number>();
  const reused = released.flatMap(({request, slot}): readonly KeyedSlot[] => {
    if (!isOrderly || options.isUnusable(slot.target)) {
      return [];
    }
    const queue = pickQueue(view, slot, options, taken);
    const decision =
      queue === undefined ? undefined : decide(view, slot, queue, now);
    if (queue === undefined || decision?.kind !== 'reuse') {
      return [];
    }
    const key = formatQueue(queue);
    taken.set(key, (taken.get(key) ?? 0) + 1);
    const keyed = toReusedSlot(request, slot, queue, now);
    return [{...keyed, isReturning: decision.isLast}];
  });
  const writes = released.map(({request}): SlotWrite => ({
    kind: 'delete',
    section: 'usedSlots',
    key: request,
  }));
  return {reused, writes};
}

interface ReleasedSlot {
  readonly request: RequestId;
  readonly slot: UsedSlot;
}

function listReleased({board, readChanges}: SlotView): readonly ReleasedSlot[] {
  const released: ReleasedSlot[] = [];
  for (const key of readChanges('requests')) {
    const request = key as RequestId;
    const slot = board.usedSlots.get(request);
    const state = board.requests.get(request);
    // A request that was just matched waits until it is dispatched.
    const isMatched = board.matches.has(request);
    const isReleased =
      state === undefined ||
      ((state.kind === 'waiting' || state.kind === 'repeating') && !isMatched);
    if (slot !== undefined && isReleased) {
      released.push({request, slot});
    }
  }
  return released;
}

/** Returns whether the endpoint can be expected to be free now. */
function hasEndedInOrder({observation}: SlotView): boolean {
  return (
    observation?.kind === 'callerGone' ||
    (observation?.kind === 'streamEnded' && observation.end.kind === 'complete')
  );
}

/**
 * Picks a queue of the highest tier that waits: that of the same organisation, to
 * which the leader gave the slot, or the one whose oldest request has waited
 * longest.
 */
function pickQueue(
  {board}: SlotView,
  {set, organisation}: UsedSlot,
  {hasLimits}: ReuseOptions,
  taken: ReadonlyMap<string, number>,
): QueueKey | undefined {
  let best: QueueKey | undefined;
  let oldest = Number.POSITIVE_INFINITY;
  for (const {key, value} of iterateQueues(board.queues, set)) {
    if (best !== undefined && key.rank > best.rank) {
      return best;
    }
    const first = iterateWaiting(board.waiting, key).next();
    const arrivedAt =
      first.done === true
        ? Number.POSITIVE_INFINITY
        : first.value.key.arrivedAt;
    const isLeft = value.count > (taken.get(formatQueue(key)) ?? 0);
    const isOwn = key.organisation === organisation;
    const order = isOwn ? Number.NEGATIVE_INFINITY : arrivedAt;
    if (isLeft && order < oldest && !hasLimits(key)) {
      best = key;
      oldest = order;
    }
  }
  return best;
}

/**
 * Decides on a slot; `undefined` where none is used again: requests of plain
 * services are too short for their capacity to be worth keeping.
 */
function decide(
  view: SlotView,
  slot: UsedSlot,
  {rank}: QueueKey,
  now: TurnTime,
): ReuseDecision | undefined {
  const {board} = view;
  const {set, target, grantedAt, usedAt, isReturning} = slot;
  if (
    isReturning ||
    !isModelSet(board.configuration, set) ||
    !isListed(view, slot)
  ) {
    return undefined;
  }
  const demand = board.setDemands.get(set);
  return decideReuse({
    heldMs: now.monotonic - grantedAt,
    expectedMs: now.monotonic - usedAt,
    turnaroundMs: board.demandReporting.get(set)?.roundTripMs ?? 0,
    spread: hashToFraction(`${target.endpoint}/${grantedAt}`),
    ownRank: rank,
    waitingRank: demand?.waitingRank ?? null,
    demandAgeMs: now.monotonic - (demand?.knownAt ?? Number.NEGATIVE_INFINITY),
    isFailing: listFailing(board, set, now).has(target.endpoint),
  });
}

/** Returns whether the set leader still lists an endpoint. */
function isListed({board}: SlotView, {set, target}: UsedSlot): boolean {
  const endpoints = board.knownEndpoints.get(set)?.endpoints ?? [];
  return endpoints.some(listed => listed.target.endpoint === target.endpoint);
}

function toReusedSlot(
  request: RequestId,
  {set, target, grantedAt}: UsedSlot,
  {rank, organisation}: QueueKey,
  now: TurnTime,
): KeyedSlot {
  const id = `${set}.reused.${request}` as GrantId;
  return {
    key: {set, rank, organisation, grant: id},
    slot: {
      set,
      epoch: 0,
      grant: {id, rank, organisation, target, count: 1},
      remaining: 1,
      grantedAt,
      deadline: now.monotonic + UNGRANTED_LIFETIME_MS,
    },
  };
}

function formatQueue({rank, organisation}: QueueKey): string {
  return `${rank}/${organisation}`;
}
