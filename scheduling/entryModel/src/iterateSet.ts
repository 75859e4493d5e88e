import {iterateWhile} from '@gentianshunt/board';
import type {OrderedEntry, OrderedView} from '@gentianshunt/board';
import type {
  EndpointId,
  EndpointSetId,
  GrantId,
  NodeId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {
  QueueKey,
  RunningKey,
  SlotKey,
  WaitingKey,
} from './queueRecords.js';
import type {
  EndpointKey,
  FairShareKey,
  SetEntryKey,
} from './setLeaderRecords.js';

const LOWEST_KEY = '';

/** Iterates the queues of a set, highest tier first. */
export function iterateQueues<Value>(
  view: OrderedView<QueueKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<QueueKey, Value>> {
  const from = {set, rank: 0, organisation: LOWEST_KEY as OrganisationId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the running requests of a set, by endpoint and organisation. */
export function iterateRunning<Value>(
  view: OrderedView<RunningKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<RunningKey, Value>> {
  const from = {
    set,
    endpoint: LOWEST_KEY as EndpointId,
    organisation: LOWEST_KEY as OrganisationId,
  };
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the slots of a set. */
export function iterateSlots<Value>(
  view: OrderedView<SlotKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<SlotKey, Value>> {
  const from = {
    set,
    rank: 0,
    organisation: LOWEST_KEY as OrganisationId,
    grant: LOWEST_KEY as GrantId,
  };
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the slots that requests of a queue may use. */
export function iterateQueueSlots<Value>(
  view: OrderedView<SlotKey, Value>,
  queue: QueueKey,
): IterableIterator<OrderedEntry<SlotKey, Value>> {
  const from = {...pickQueueKey(queue), grant: LOWEST_KEY as GrantId};
  return iterateWhile(view, from, key => isSameQueue(key, queue));
}

/** Iterates the requests of a queue, the longest waiting first. */
export function iterateWaiting<Value>(
  view: OrderedView<WaitingKey, Value>,
  queue: QueueKey,
): IterableIterator<OrderedEntry<WaitingKey, Value>> {
  const from = {
    ...pickQueueKey(queue),
    arrivedAt: Number.NEGATIVE_INFINITY,
    request: LOWEST_KEY as RequestId,
  };
  return iterateWhile(view, from, key => isSameQueue(key, queue));
}

/** Iterates the endpoints of a set. */
export function iterateEndpoints<Value>(
  view: OrderedView<EndpointKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<EndpointKey, Value>> {
  const from = {set, endpoint: LOWEST_KEY as EndpointId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the records of a set that are kept per entry. */
export function iterateSetEntries<Value>(
  view: OrderedView<SetEntryKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<SetEntryKey, Value>> {
  const from = {set, node: LOWEST_KEY as NodeId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the records of a set that are kept per organisation. */
export function iterateFairShares<Value>(
  view: OrderedView<FairShareKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<FairShareKey, Value>> {
  const from = {set, organisation: LOWEST_KEY as OrganisationId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Picks the fields of a queue key from a longer key. */
export function pickQueueKey(key: QueueKey): QueueKey {
  return {set: key.set, rank: key.rank, organisation: key.organisation};
}

/** Returns whether two keys belong to the same queue. */
export function isSameQueue(left: QueueKey, right: QueueKey): boolean {
  return (
    left.set === right.set &&
    left.rank === right.rank &&
    left.organisation === right.organisation
  );
}
