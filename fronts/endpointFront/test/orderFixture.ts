import {createManualClock} from '@gentianshunt/clock';
import type {EntryObservation} from '@gentianshunt/entryModel';

import {createEndpointOrderClient} from '../src/index.js';

/** Address at which stand-ins for endpoints listen. */
export const HOST = '127.0.0.1';

/** Sends an order to an endpoint; returns what is observed of it. */
export function sendOrder(port: number): Promise<EntryObservation> {
  return new Promise(resolve => {
    const client = createEndpointOrderClient({
      clock: createManualClock(),
      post: resolve,
    });
    client.send({
      url: `http://${HOST}:${port}`,
      fencing: 1,
      directive: {kind: 'load'},
      sendBefore: 1,
    } as never);
  });
}
