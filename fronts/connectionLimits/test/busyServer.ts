/**
 * The program of a process whose event loop is busy for a while in every turn. It
 * adapts its queue of connections unless it is told otherwise.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createSystemClock} from '@gentianshunt/runtime';

import {createAcceptQueue} from '../src/index.js';

const HOST = '127.0.0.1';
const [turnMs = '0', backlog = '0', kind = 'fixed'] = process.argv.slice(2);
const clock = createSystemClock();
const server = createServer((_request, response) => response.end('answered'));

function keepBusy(): void {
  const until = clock.readMonotonic() + Number(turnMs);
  while (clock.readMonotonic() < until) {}
  setImmediate(keepBusy);
}

server.listen({host: HOST, port: 0, backlog: Number(backlog)}, () => {
  const {port} = server.address() as AddressInfo;
  if (kind === 'adapted') {
    createAcceptQueue({
      server,
      address: {host: HOST, port},
      clock,
      onSample: () => undefined,
      onDelayed: () => undefined,
    });
  }
  process.send?.({port});
  keepBusy();
});
