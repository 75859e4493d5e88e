import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {createPeerLinks} from '../src/index.js';

const HOST = '127.0.0.1';
const PEERS = 8;
const MAX_QUEUED_BYTES = 64 * 1_024;
const MESSAGE = 'a'.repeat(8 * 1_024);
const MESSAGES = 100;

// Guards against queues for many lost peers that fill the memory together.
t.test('the queues of all unconnected peers share one bound', async t => {
  const links = await createPeerLinks({
    self: toIdentifier('self'),
    listen: {host: HOST, port: 0},
    onMessage: () => undefined,
    onError: () => undefined,
    drawFraction: () => 0.5,
    maxQueuedBytes: MAX_QUEUED_BYTES,
  });
  for (let index = 0; index < MESSAGES; index += 1) {
    const peer = toIdentifier<never>(`peer-${index % PEERS}`);
    links.send(peer, undefined, MESSAGE);
  }
  const {total} = links.readQueuedBytes();
  t.ok(total > MAX_QUEUED_BYTES / 2);
  t.ok(total < MAX_QUEUED_BYTES + 2 * MESSAGE.length, `${total} bytes`);
  await links.close();
});
