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
  EndpointKey,
  LineKey,
  ReportKey,
  RunningKey,
  ShareKey,
  SlotKey,
  WaitingKey,
} from './sections.js';

const LOWEST_KEY = '';

/** Iterates the queues of a set, highest tier first. */
export function iterateLines<Value>(
  view: OrderedView<LineKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<LineKey, Value>> {
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
export function iterateLineSlots<Value>(
  view: OrderedView<SlotKey, Value>,
  queue: LineKey,
): IterableIterator<OrderedEntry<SlotKey, Value>> {
  const from = {...pickLine(queue), grant: LOWEST_KEY as GrantId};
  return iterateWhile(view, from, key => isSameLine(key, queue));
}

/** Iterates the requests of a queue, the longest waiting first. */
export function iterateWaiting<Value>(
  view: OrderedView<WaitingKey, Value>,
  queue: LineKey,
): IterableIterator<OrderedEntry<WaitingKey, Value>> {
  const from = {
    ...pickLine(queue),
    arrivedAt: Number.NEGATIVE_INFINITY,
    request: LOWEST_KEY as RequestId,
  };
  return iterateWhile(view, from, key => isSameLine(key, queue));
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
export function iterateReports<Value>(
  view: OrderedView<ReportKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<ReportKey, Value>> {
  const from = {set, node: LOWEST_KEY as NodeId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the records of a set that are kept per organisation. */
export function iterateShares<Value>(
  view: OrderedView<ShareKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<ShareKey, Value>> {
  const from = {set, organisation: LOWEST_KEY as OrganisationId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Returns the queue's part of a longer key. */
export function pickLine(key: LineKey): LineKey {
  return {set: key.set, rank: key.rank, organisation: key.organisation};
}

/** Returns whether two keys belong to the same queue. */
export function isSameLine(left: LineKey, right: LineKey): boolean {
  return (
    left.set === right.set &&
    left.rank === right.rank &&
    left.organisation === right.organisation
  );
}
