// Sections that spare the endpoint order controller a search of the configuration.
import type {TurnTime} from '@gentianshunt/board';
import {formatObjectKey} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

import type {OrderView, OrderWrite} from './orderView.js';

const ORDER_PREFIX = formatObjectKey('endpointOrder', '');

/** Records since when this entry leads each of its sets. */
export function updateOrderEpochs(
  view: OrderView,
  now: TurnTime,
): readonly OrderWrite[] {
  const {leaderships, orderEpochs} = view.board;
  const writes: OrderWrite[] = [];
  for (const changedKey of view.readChanges('leaderships')) {
    const key = changedKey as EndpointSetId;
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

/**
 * Updates the section of orders that have not ended. It spares the controller a
 * search of the whole configuration.
 */
export function updateOpenOrders(view: OrderView): readonly OrderWrite[] {
  const writes: OrderWrite[] = [];
  for (const changedKey of view.readChanges('configuration')) {
    const objectKey = changedKey as ObjectKey;
    if (!objectKey.startsWith(ORDER_PREFIX)) {
      continue;
    }
    const key = objectKey.slice(ORDER_PREFIX.length) as EndpointId;
    const order = view.board.configuration.get(objectKey);
    const isOpen =
      order?.kind === 'endpointOrder' && order.state.kind !== 'ended';
    writes.push(
      isOpen
        ? {kind: 'put', section: 'openEndpointOrders', key, value: order}
        : {kind: 'delete', section: 'openEndpointOrders', key},
    );
  }
  return writes;
}
