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

const LOWEST = '';

/** Iterates the lines of a set, highest tier first. */
export function iterateLines<Value>(
  view: OrderedView<LineKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<LineKey, Value>> {
  const from = {set, rank: 0, organisation: LOWEST as OrganisationId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates what runs at the endpoints of a set. */
export function iterateRunning<Value>(
  view: OrderedView<RunningKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<RunningKey, Value>> {
  const from = {
    set,
    endpoint: LOWEST as EndpointId,
    organisation: LOWEST as OrganisationId,
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
    organisation: LOWEST as OrganisationId,
    grant: LOWEST as GrantId,
  };
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates the slots that fit a line. */
export function iterateLineSlots<Value>(
  view: OrderedView<SlotKey, Value>,
  line: LineKey,
): IterableIterator<OrderedEntry<SlotKey, Value>> {
  const from = {...pickLine(line), grant: LOWEST as GrantId};
  return iterateWhile(view, from, key => isSameLine(key, line));
}

/** Iterates the requests of a line, the longest waiting first. */
export function iterateWaiting<Value>(
  view: OrderedView<WaitingKey, Value>,
  line: LineKey,
): IterableIterator<OrderedEntry<WaitingKey, Value>> {
  const from = {
    ...pickLine(line),
    arrivedAt: Number.NEGATIVE_INFINITY,
    request: LOWEST as RequestId,
  };
  return iterateWhile(view, from, key => isSameLine(key, line));
}

/** Iterates the endpoints of a set. */
export function iterateEndpoints<Value>(
  view: OrderedView<EndpointKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<EndpointKey, Value>> {
  const from = {set, endpoint: LOWEST as EndpointId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates what is recorded for the entries of a set. */
export function iterateReports<Value>(
  view: OrderedView<ReportKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<ReportKey, Value>> {
  const from = {set, node: LOWEST as NodeId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Iterates what the organisations have received of a set. */
export function iterateShares<Value>(
  view: OrderedView<ShareKey, Value>,
  set: EndpointSetId,
): IterableIterator<OrderedEntry<ShareKey, Value>> {
  const from = {set, organisation: LOWEST as OrganisationId};
  return iterateWhile(view, from, key => key.set === set);
}

/** Takes the fields of a line from a longer key. */
export function pickLine(key: LineKey): LineKey {
  return {set: key.set, rank: key.rank, organisation: key.organisation};
}

/** Tells whether two keys belong to the same line. */
export function isSameLine(left: LineKey, right: LineKey): boolean {
  return (
    left.set === right.set &&
    left.rank === right.rank &&
    left.organisation === right.organisation
  );
}
