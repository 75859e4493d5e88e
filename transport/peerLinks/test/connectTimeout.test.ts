import t from 'tap';

import {CONNECT_TIMEOUT_MS} from '../src/index.js';
import {openLinks, waitUntil} from './linkFixture.js';

const STANDSTILL_MS = CONNECT_TIMEOUT_MS + 150;

/** Blocks the event loop, as a process that stands still does. */
function blockLoop(durationMs: number): void {
  const pause = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(pause, 0, 0, durationMs);
}

t.test('a connection accepted during a standstill is kept', async t => {
  const receiver = await openLinks('receiver');
  const sender = await openLinks('sender');
  sender.links.send(receiver.node, receiver.links.address, {value: 1});
  // The timer of the connection is set in the next turn of the loop.
  await new Promise(resolve => setImmediate(resolve));
  blockLoop(STANDSTILL_MS);
  await waitUntil(() => receiver.received.length === 1);
  t.same(sender.errors, []);
  await Promise.all([sender.links.close(), receiver.links.close()]);
});
