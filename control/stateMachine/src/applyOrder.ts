import {
  findWeightStoreRate,
  formatObjectKey,
  isOrderIssuable,
} from '@gentianshunt/configuration';
import type {EndpointOrder} from '@gentianshunt/configuration';
import type {LogEntry, LogPayload} from '@gentianshunt/messages';
import {isWeightStoreRead, takeToken} from '@gentianshunt/orders';
import type {OrderState} from '@gentianshunt/orders';

import {changeConfiguration} from './changeConfiguration.js';
import type {StateDraft} from './stateDraft.js';

type IssueOrderPayload = Extract<LogPayload, {readonly kind: 'issueOrder'}>;
type EndOrderPayload = Extract<LogPayload, {readonly kind: 'endOrder'}>;

/**
 * Issues an endpoint order to the leader of its set with a new fencing number.
 * An order that reads from the weight store uses a token of its rate limit.
 */
export function applyIssueOrder(
  draft: StateDraft,
  entry: LogEntry,
  payload: IssueOrderPayload,
): void {
  const {endpoint, revision, set, node, epoch, atMs} = payload;
  const order = findOrder(draft, endpoint);
  const leadership = draft.configuration.get(
    formatObjectKey('setLeadership', set),
  );
  const isLeader =
    leadership?.kind === 'setLeadership' &&
    leadership.node === node &&
    leadership.epoch === epoch;
  const isIssuable =
    order !== undefined &&
    order.revision === revision &&
    isOrderIssuable(draft.configuration, order);
  if (!isLeader || !isIssuable) {
    return;
  }
  if (isWeightStoreRead(order.directive)) {
    const rate = findWeightStoreRate(draft.configuration);
    const bucket = takeToken(draft.weightStore, rate, atMs);
    if (bucket === undefined) {
      return;
    }
    draft.weightStore = bucket;
  }
  const fencing = entry.index;
  putOrder(draft, entry, order, {kind: 'issued', fencing, set, node, epoch});
}

/**
 * Ends an endpoint order with its result. Results with the fencing number of an
 * earlier issue are ignored.
 */
export function applyEndOrder(
  draft: StateDraft,
  entry: LogEntry,
  payload: EndOrderPayload,
): void {
  const {endpoint, fencing, result} = payload;
  const order = findOrder(draft, endpoint);
  if (order?.state.kind === 'issued' && order.state.fencing === fencing) {
    putOrder(draft, entry, order, {kind: 'ended', fencing, result});
  }
}

function findOrder(
  draft: StateDraft,
  endpoint: string,
): EndpointOrder | undefined {
  const key = formatObjectKey('endpointOrder', endpoint);
  const object = draft.configuration.get(key);
  return object?.kind === 'endpointOrder' ? object : undefined;
}

function putOrder(
  draft: StateDraft,
  entry: LogEntry,
  order: EndpointOrder,
  state: OrderState,
): void {
  changeConfiguration(draft, entry, [{kind: 'put', object: {...order, state}}]);
}
