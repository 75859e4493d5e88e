import {assertNever} from '@gentianshunt/errors';

import {formatObjectKey} from './objects.js';
import type {ConfigurationObject, EndpointOrder, ObjectKey} from './objects.js';

/** Reads objects by key. */
interface ObjectReader {
  get(key: ObjectKey): ConfigurationObject | undefined;
}

/**
 * Returns whether an order may be issued: it is queued, or the set leader that
 * it was issued to no longer leads the set.
 */
export function isOrderIssuable(
  reader: ObjectReader,
  order: EndpointOrder,
): boolean {
  const {state} = order;
  switch (state.kind) {
    case 'queued':
      return true;
    case 'issued': {
      const key = formatObjectKey('setLeadership', state.set);
      const leadership = reader.get(key);
      return !(
        leadership?.kind === 'setLeadership' &&
        leadership.node === state.node &&
        leadership.epoch === state.epoch
      );
    }
    case 'ended':
      return false;
    default:
      return assertNever(state, 'isOrderIssuable');
  }
}
