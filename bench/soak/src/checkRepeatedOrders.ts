import type {Finding} from './finding.js';
import {listEvents} from './listEvents.js';
import type {RunHistory} from './runHistory.js';

/** Checks that a version that was acknowledged is not refused when sent again. */
export function checkRepeatedOrders({events}: RunHistory): readonly Finding[] {
  return listEvents(events, 'orderRefused')
    .filter(({form}) => form === 'repeat')
    .map(({at, vm, version, status}) => ({
      check: 'repeatedOrders',
      at,
      detail: `${vm} refused version ${version}, which was acknowledged before, with ${status}`,
      excuse: null,
    }));
}
