/**
 * Executes operators' orders at the endpoints of the sets that this entry
 * leads. An open order is offered to the control daemons, which issue it with
 * a fencing number; then it is sent to the endpoint, and its result reported.
 */
import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import type {EndpointOrder} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointRecord,
  EntryController,
  OrderEpoch,
  OrderExecution,
} from '@gentianshunt/entryModel';
import type {EntryToControl} from '@gentianshunt/messages';
import {
  computeEarliestSendTime,
  MAX_ORDER_DELIVERY_MS,
} from '@gentianshunt/orders';
import type {OrderResult} from '@gentianshunt/orders';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

import {updateOpenOrders, updateOrderEpochs} from './orderIndexes.js';
import type {
  OrderReads,
  OrderSections,
  OrderView,
  OrderWrite,
} from './orderView.js';

/** Longest time for which an earlier leader may still act as set leader. */
export const LEADER_LEASE_MS: Milliseconds = 3_000;

/** Creates the controller that executes orders at the led sets' endpoints. */
export function createEndpointOrderController(): EntryController {
  return defineEntryController<OrderReads, OrderSections>({
    name: 'endpointOrders',
    reads: [
      'identity',
      'control',
      'configuration',
      'leaderships',
      'endpoints',
      'openEndpointOrders',
      'orderExecutions',
      'orderEpochs',
    ],
    writes: ['openEndpointOrders', 'orderExecutions', 'orderEpochs'],
    observes: ['timerDue', 'endpointOrderEnded'],
    run: (view, now) => [
      ...updateOrderEpochs(view, now),
      ...updateOpenOrders(view),
      ...handleObservation(view, now),
    ],
  });
}

function handleObservation(
  view: OrderView,
  now: TurnTime,
): readonly OrderWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [...advanceOrders(view, now), ...removeEndedExecutions(view)]
        : [];
    case 'endpointOrderEnded':
      return endExecution(view, observation.execution, observation.result, now);
    default:
      return [];
  }
}

/** Takes the next step of each open order of the led sets. */
function advanceOrders(view: OrderView, now: TurnTime): readonly OrderWrite[] {
  // Without a lease another entry may already lead the set.
  if (!isLeaseValid(view.board.control.lease, now)) {
    return [];
  }
  return [...view.board.openEndpointOrders.values()].flatMap(order =>
    advanceOrder(view, order, now),
  );
}

/** Offers an order, sends it to its endpoint, or reports its result. */
function advanceOrder(
  view: OrderView,
  order: EndpointOrder,
  now: TurnTime,
): readonly OrderWrite[] {
  const target = findTarget(view, order.id);
  const {state} = order;
  if (target === undefined) {
    return reportMissingEndpoint(view, order, now);
  }
  if (state.kind !== 'issued' || state.epoch !== target.orderEpoch.epoch) {
    return sendControl(view, {
      kind: 'orderOffer',
      endpoint: order.id,
      revision: order.revision,
      set: target.set,
      epoch: target.orderEpoch.epoch,
    });
  }
  const executionState = view.board.orderExecutions.get(order.id);
  if (executionState?.execution.fencing === state.fencing) {
    return executionState.kind === 'ended'
      ? reportResult(view, executionState.execution, executionState.result)
      : [];
  }
  const earliest = computeEarliestSendTime({
    checksFencing: target.record.announcement.checksFencing,
    leadsSince: target.orderEpoch.since,
    leaseMs: LEADER_LEASE_MS,
  });
  return now.monotonic < earliest
    ? []
    : startExecution({
        endpoint: order.id,
        set: target.set,
        epoch: state.epoch,
        fencing: state.fencing,
        url: target.record.announcement.url,
        directive: order.directive,
        lease: view.board.control.lease,
      });
}

/**
 * Reports an issued order of a set that this entry leads and whose endpoint no
 * longer exists. One that an earlier leader was to execute is reported once its
 * lease has ended and the endpoint has had time to announce itself here.
 */
function reportMissingEndpoint(
  view: OrderView,
  order: EndpointOrder,
  now: TurnTime,
): readonly OrderWrite[] {
  const {state} = order;
  const orderEpoch =
    state.kind === 'issued' ? view.board.orderEpochs.get(state.set) : undefined;
  if (state.kind !== 'issued' || orderEpoch === undefined) {
    return [];
  }
  const waitMs =
    orderEpoch.epoch === state.epoch
      ? 0
      : LEADER_LEASE_MS + MAX_ORDER_DELIVERY_MS;
  return now.monotonic - orderEpoch.since >= waitMs
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
  readonly orderEpoch: OrderEpoch;
  readonly record: EndpointRecord;
}

function findTarget(
  view: OrderView,
  endpoint: EndpointId,
): OrderTarget | undefined {
  for (const [set, orderEpoch] of view.board.orderEpochs) {
    const record = view.board.endpoints.get({set, endpoint});
    if (record !== undefined) {
      return {set, orderEpoch, record};
    }
  }
  return undefined;
}

function startExecution(execution: OrderExecution): readonly OrderWrite[] {
  return [
    {
      kind: 'put',
      section: 'orderExecutions',
      key: execution.endpoint,
      value: {kind: 'sent', execution},
    },
    {kind: 'effect', effect: {kind: 'sendEndpointOrder', execution}},
  ];
}

/**
 * Stores and reports the result of an execution. A result that arrives after
 * the lease ended counts as unknown, since another leader may have sent a later
 * order in the meantime.
 */
function endExecution(
  view: OrderView,
  execution: OrderExecution,
  reported: OrderResult,
  now: TurnTime,
): readonly OrderWrite[] {
  const orderEpoch = view.board.orderEpochs.get(execution.set);
  const isLeading =
    orderEpoch?.epoch === execution.epoch &&
    isLeaseValid(view.board.control.lease, now);
  const result: OrderResult = isLeading
    ? reported
    : {kind: 'unknown', detail: 'the lease ended before the answer came'};
  return [
    {
      kind: 'put',
      section: 'orderExecutions',
      key: execution.endpoint,
      value: {kind: 'ended', execution, result},
    },
    ...(isLeading ? reportResult(view, execution, result) : []),
  ];
}

function reportResult(
  view: OrderView,
  execution: OrderExecution,
  result: OrderResult,
): readonly OrderWrite[] {
  const {endpoint, fencing} = execution;
  return sendControl(view, {kind: 'orderReport', endpoint, fencing, result});
}

function sendControl(
  view: OrderView,
  message: EntryToControl,
): readonly OrderWrite[] {
  const {leader} = view.board.control;
  return leader === null
    ? []
    : [{kind: 'effect', effect: {kind: 'sendControl', to: leader, message}}];
}

/** Removes ended executions whose order has ended or was issued again. */
function removeEndedExecutions(view: OrderView): readonly OrderWrite[] {
  const writes: OrderWrite[] = [];
  for (const [key, state] of view.board.orderExecutions) {
    const order = view.board.openEndpointOrders.get(key);
    const isCurrent =
      order?.state.kind === 'issued' &&
      order.state.fencing === state.execution.fencing;
    if (!isCurrent && state.kind === 'ended') {
      writes.push({kind: 'delete', section: 'orderExecutions', key});
    }
  }
  return writes;
}
