import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import t from 'tap';

import {HOST, sendOrder} from './orderFixture.js';

const DELAY_MS = 30;
const DONE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';
const CONFLICT = 'HTTP/1.1 409 No\r\ncontent-length: 2\r\n\r\n{}';

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
