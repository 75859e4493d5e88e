import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {formatObjectKey} from '@gentianshunt/configuration';
import type {EndpointOrder, ObjectKey} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointRecord,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  OrderEpoch,
  OrderRun,
} from '@gentianshunt/entryModel';
import type {EntryToControl} from '@gentianshunt/messages';
import {readEarliestSending} from '@gentianshunt/orders';
import type {OrderResult} from '@gentianshunt/orders';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** Longest time an earlier leader of a set may believe that it leads. */
export const LEADER_LEASE_MS: Milliseconds = 3_000;

const ORDER_PREFIX = formatObjectKey('endpointOrder', '');

type OrderReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'endpoints'
  | OrderWrites;
type OrderWrites = 'openOrders' | 'orderRuns' | 'orderEpochs';
type OrderView = View<EntrySections, OrderReads, EntryObservation>;
type OrderWrite = EntryWrite<OrderWrites>;

/** Creates the controller that carries orders to the led sets' endpoints. */
export function createEndpointOrderController(): EntryController {
  return defineEntryController<OrderReads, OrderWrites>({
    name: 'endpointOrders',
    reads: [
      'identity',
      'control',
      'configuration',
      'leaderships',
      'endpoints',
      'openOrders',
      'orderRuns',
      'orderEpochs',
    ],
    writes: ['openOrders', 'orderRuns', 'orderEpochs'],
    observes: ['timerDue', 'endpointOrderEnded'],
    run: (view, now) => [
      ...followLeaderships(view, now),
      ...followOrders(view),
      ...handleObservation(view, now),
    ],
  });
}

/** Notes since when this entry leads each of its sets. */
function followLeaderships(
  view: OrderView,
  now: TurnTime,
): readonly OrderWrite[] {
  const {leaderships, orderEpochs} = view.board;
  const writes: OrderWrite[] = [];
  for (const changed of view.readChanges('leaderships')) {
    const key = changed as EndpointSetId;
    const epoch = leaderships.get(key)?.epoch;
    if (epoch === undefined) {
      writes.push({kind: 'delete', section: 'orderEpochs', key});
    } else if (orderEpochs.get(key)?.epoch !== epoch) {
      const value = {epoch, since: now.monotonic};
      writes.push({kind: 'put', section: 'orderEpochs', key, value});
    }
  }
  return writes;
}

/** Keeps the orders that have not ended, so that nothing else is searched. */
function followOrders(view: OrderView): readonly OrderWrite[] {
  const writes: OrderWrite[] = [];
  for (const changed of view.readChanges('configuration')) {
    const objectKey = changed as ObjectKey;
    if (!objectKey.startsWith(ORDER_PREFIX)) {
      continue;
    }
    const key = objectKey.slice(ORDER_PREFIX.length) as EndpointId;
    const order = view.board.configuration.get(objectKey);
    const isOpen =
      order?.kind === 'endpointOrder' && order.state.kind !== 'ended';
    writes.push(
      isOpen
        ? {kind: 'put', section: 'openOrders', key, value: order}
        : {kind: 'delete', section: 'openOrders', key},
    );
  }
  return writes;
}

function handleObservation(
  view: OrderView,
  now: TurnTime,
): readonly OrderWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [...advanceOrders(view, now), ...dropRuns(view)]
        : [];
    case 'endpointOrderEnded':
      return endRun(view, observation.run, observation.result, now);
    default:
      return [];
  }
}

/** Offers, sends or reports each open order of the led sets. */
function advanceOrders(view: OrderView, now: TurnTime): readonly OrderWrite[] {
  // Without a lease another entry may lead by now.
  if (view.board.control.leaseUntil <= now.monotonic) {
    return [];
  }
  return [...view.board.openOrders.values()].flatMap(order =>
    advanceOrder(view, order, now),
  );
}

function advanceOrder(
  view: OrderView,
  order: EndpointOrder,
  now: TurnTime,
): readonly OrderWrite[] {
  const target = findTarget(view, order.id);
  const {state} = order;
  if (target === undefined) {
    return reportGone(view, order);
  }
  if (state.kind !== 'issued' || state.epoch !== target.held.epoch) {
    return sendControl(view, {
      kind: 'orderOffer',
      endpoint: order.id,
      revision: order.revision,
      set: target.set,
      epoch: target.held.epoch,
    });
  }
  const run = view.board.orderRuns.get(order.id);
  if (run?.run.fencing === state.fencing) {
    return run.kind === 'ended' ? report(view, run.run, run.result) : [];
  }
  const earliest = readEarliestSending({
    checksFencing: target.record.announcement.checksFencing,
    leadsSince: target.held.since,
    leaseMs: LEADER_LEASE_MS,
  });
  return now.monotonic < earliest
    ? []
    : startRun({
        endpoint: order.id,
        set: target.set,
        epoch: state.epoch,
        fencing: state.fencing,
        url: target.record.announcement.url,
        directive: order.directive,
        sendBefore: view.board.control.leaseUntil,
      });
}

/** Ends an order of this entry whose endpoint is no longer there. */
function reportGone(
  view: OrderView,
  order: EndpointOrder,
): readonly OrderWrite[] {
  const {state} = order;
  const isOwn =
    state.kind === 'issued' &&
    view.board.orderEpochs.get(state.set)?.epoch === state.epoch;
  return isOwn
    ? sendControl(view, {
        kind: 'orderReport',
        endpoint: order.id,
        fencing: state.fencing,
        result: {kind: 'unknown', detail: 'the endpoint is gone'},
      })
    : [];
}

/** An endpoint of a set that this entry leads. */
interface OrderTarget {
  readonly set: EndpointSetId;
  readonly held: OrderEpoch;
  readonly record: EndpointRecord;
}

function findTarget(
  view: OrderView,
  endpoint: EndpointId,
): OrderTarget | undefined {
  for (const [set, held] of view.board.orderEpochs) {
    const record = view.board.endpoints.get({set, endpoint});
    if (record !== undefined) {
      return {set, held, record};
    }
  }
  return undefined;
}

function startRun(run: OrderRun): readonly OrderWrite[] {
  return [
    {
      kind: 'put',
      section: 'orderRuns',
      key: run.endpoint,
      value: {kind: 'sent', run},
    },
    {kind: 'order', order: {kind: 'sendEndpointOrder', run}},
  ];
}

/** A result that comes after the lease tells nothing of what holds now. */
function endRun(
  view: OrderView,
  run: OrderRun,
  reported: OrderResult,
  now: TurnTime,
): readonly OrderWrite[] {
  const held = view.board.orderEpochs.get(run.set);
  const isHeld =
    held?.epoch === run.epoch && view.board.control.leaseUntil > now.monotonic;
  const result: OrderResult = isHeld
    ? reported
    : {kind: 'unknown', detail: 'the lease ended before the answer came'};
  return [
    {
      kind: 'put',
      section: 'orderRuns',
      key: run.endpoint,
      value: {kind: 'ended', run, result},
    },
    ...(isHeld ? report(view, run, result) : []),
  ];
}

function report(
  view: OrderView,
  run: OrderRun,
  result: OrderResult,
): readonly OrderWrite[] {
  const {endpoint, fencing} = run;
  return sendControl(view, {kind: 'orderReport', endpoint, fencing, result});
}

function sendControl(
  view: OrderView,
  message: EntryToControl,
): readonly OrderWrite[] {
  const {leader} = view.board.control;
  return leader === null
    ? []
    : [{kind: 'order', order: {kind: 'sendControl', to: leader, message}}];
}

/** Forgets runs whose order has ended or was issued anew. */
function dropRuns(view: OrderView): readonly OrderWrite[] {
  const writes: OrderWrite[] = [];
  for (const [key, state] of view.board.orderRuns) {
    const order = view.board.openOrders.get(key);
    const isCurrent =
      order?.state.kind === 'issued' &&
      order.state.fencing === state.run.fencing;
    if (!isCurrent && state.kind === 'ended') {
      writes.push({kind: 'delete', section: 'orderRuns', key});
    }
  }
  return writes;
}
