import {connect, createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

import {encodeFrame} from '@gentianshunt/frames';
import t from 'tap';

import {startLinkProxy} from '../src/index.js';
import type {LinkFaults} from '../src/index.js';

const HOST = '127.0.0.1';
const LATENCY_MS = 200;
const MESSAGES = 20;
const MESSAGE_INTERVAL_MS = 10;
/** More than the last message takes, far less than one after the other do. */
const MAX_LATENCY_MS = 1_500;
const GIVE_UP_MS = 5_000;

/** Creates links with a latency and no other fault. */
function createLateLinks(): LinkFaults {
  return {
    addLink: () => undefined,
    removeLink: () => undefined,
    addFault: () => undefined,
    removeFault: () => undefined,
    readLatency: () => LATENCY_MS,
    waitToPass: () => Promise.resolve(),
  };
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return (server.address() as AddressInfo).port;
}

t.test('latency delays messages and lets as many pass', async t => {
  let received = Buffer.alloc(0);
  const target = createServer(socket => {
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk]);
    });
  });
  const free = createServer();
  const port = await listen(free);
  await new Promise(resolve => free.close(resolve));
  const proxy = await startLinkProxy({
    target: 'vm',
    listen: {host: HOST, port},
    forward: {host: HOST, port: await listen(target)},
    faults: createLateLinks(),
  });
  const socket = connect(port, HOST).setNoDelay(true);
  const frames = Array.from({length: MESSAGES}, (_, index) =>
    encodeFrame(index),
  );
  const sent = Buffer.concat(frames);
  const startedAt = performance.now();
  for (const frame of frames) {
    socket.write(frame);
    await delay(MESSAGE_INTERVAL_MS);
  }
  while (
    received.length < sent.length &&
    performance.now() - startedAt < GIVE_UP_MS
  ) {
    await delay(MESSAGE_INTERVAL_MS);
  }
  const takenMs = performance.now() - startedAt;
  t.ok(received.equals(sent), 'all messages come, in order');
  t.ok(takenMs >= LATENCY_MS && takenMs <= MAX_LATENCY_MS, `${takenMs} ms`);
  socket.destroy();
  await proxy.close();
  await new Promise(resolve => target.close(resolve));
});
