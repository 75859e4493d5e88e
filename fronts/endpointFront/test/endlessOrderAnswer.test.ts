import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import t from 'tap';

import {HOST, sendOrder} from './orderFixture.js';

const CHUNK = 'a'.repeat(16 * 1_024);

t.test('the answer to an order is not read without end', async t => {
  let onClosed: (() => void) | undefined;
  const closed = new Promise<void>(resolve => {
    onClosed = resolve;
  });
  const server = createServer((_request, response) => {
    response.writeHead(200);
    const timer = setInterval(() => response.write(CHUNK), 1);
    response.once('close', () => {
      clearInterval(timer);
      onClosed?.();
    });
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  const posted = sendOrder(port);
  t.match(await posted, {
    kind: 'endpointOrderEnded',
    result: {kind: 'unknown', detail: /the body of the answer is larger/},
  });
  await closed;
  server.close();
});
