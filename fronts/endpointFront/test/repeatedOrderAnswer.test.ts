import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {createManualClock} from '@gentianshunt/clock';
import type {EntryObservation} from '@gentianshunt/entryModel';
import t from 'tap';

import {createEndpointOrderClient} from '../src/index.js';

const HOST = '127.0.0.1';
const DELAY_MS = 30;
const DONE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';
const CONFLICT = 'HTTP/1.1 409 No\r\ncontent-length: 2\r\n\r\n{}';

function sendOrder(port: number): Promise<EntryObservation> {
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

// Guards against a copy of an earlier answer that counts for a later order.
t.test('an answer that is repeated does not answer the next order', async t => {
  const sockets: Socket[] = [];
  let orders = 0;
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      orders += 1;
      if (orders === 1) {
        socket.write(DONE);
        return;
      }
      sockets[0]!.write(DONE);
      setTimeout(() => socket.write(CONFLICT), DELAY_MS);
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  t.match(await sendOrder(port), {result: {kind: 'done'}});
  await sleep(DELAY_MS);
  t.match(await sendOrder(port), {result: {kind: 'outdated'}});
  sockets.forEach(socket => socket.destroy());
  server.close();
});
