import {createLease, createManualClock, readInstant} from '@gentianshunt/clock';
import type {EntryObservation} from '@gentianshunt/entryModel';

import {createEndpointOrderClient} from '../src/index.js';

/** Address at which stand-ins for endpoints listen. */
export const HOST = '127.0.0.1';

/** Sends an order to an endpoint; returns what is observed of it. */
export function sendOrder(port: number): Promise<EntryObservation> {
  const clock = createManualClock();
  return new Promise(resolve => {
    const client = createEndpointOrderClient({
      clock,
      post: resolve,
    });
    client.send({
      url: `http://${HOST}:${port}`,
      fencing: 1,
      directive: {kind: 'load'},
      lease: createLease(readInstant(clock), 1),
    } as never);
  });
}
