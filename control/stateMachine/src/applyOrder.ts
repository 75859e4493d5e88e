import {
  findWeightStoreRate,
  formatObjectKey,
  isOrderOpen,
} from '@gentianshunt/configuration';
import type {EndpointOrder} from '@gentianshunt/configuration';
import type {LogEntry, LogPayload} from '@gentianshunt/messages';
import {isWeightStoreRead, takeToken} from '@gentianshunt/orders';
import type {OrderState} from '@gentianshunt/orders';

import {changeConfiguration} from './changeConfiguration.js';
import type {StateDraft} from './stateDraft.js';

type IssuePayload = Extract<LogPayload, {readonly kind: 'issueOrder'}>;
type EndPayload = Extract<LogPayload, {readonly kind: 'endOrder'}>;

/** Issues an order to the leader of its set, with a new fencing number. */
export function applyIssue(
  draft: StateDraft,
  entry: LogEntry,
  payload: IssuePayload,
): void {
  const {endpoint, revision, set, node, epoch, atMs} = payload;
  const order = readOrder(draft, endpoint);
  const leadership = draft.configuration.get(
    formatObjectKey('setLeadership', set),
  );
  const isLeader =
    leadership?.kind === 'setLeadership' &&
    leadership.node === node &&
    leadership.epoch === epoch;
  const isOpen =
    order !== undefined &&
    order.revision === revision &&
    isOrderOpen(draft.configuration, order);
  if (!isLeader || !isOpen) {
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

/** Ends an order; what an earlier issuer reports comes to nothing. */
export function applyEnd(
  draft: StateDraft,
  entry: LogEntry,
  payload: EndPayload,
): void {
  const {endpoint, fencing, result} = payload;
  const order = readOrder(draft, endpoint);
  if (order?.state.kind === 'issued' && order.state.fencing === fencing) {
    putOrder(draft, entry, order, {kind: 'ended', fencing, result});
  }
}

function readOrder(
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
