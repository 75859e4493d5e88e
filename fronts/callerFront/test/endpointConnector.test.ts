import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import t from 'tap';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';

import {createEndpointConnector} from '../src/index.js';

const HOST = '127.0.0.1';
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const PART_BYTES = 30 * 1024;
const PAUSE_MS = 30;

/** How an answer was received: its bytes, and how it ended. */
interface Received {
  readonly bytes: number;
  readonly end: 'whole' | 'failed';
}

/** Reads an answer whose reader pauses after each part of it. */
async function readPausing(
  answer: (socket: Socket) => Promise<void>,
): Promise<Received> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => void answer(socket));
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const agent = new Agent({connect: createEndpointConnector({})});
  const received = await new Promise<Received>(resolve => {
    let bytes = 0;
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => undefined,
      onResponseStart: () => undefined,
      onResponseData: (controller, chunk) => {
        bytes += chunk.length;
        // The client repeats a chunk without bytes when it is resumed.
        if (chunk.length > 0) {
          controller.pause();
          setTimeout(() => controller.resume(), PAUSE_MS);
        }
      },
      onResponseEnd: () => resolve({bytes, end: 'whole'}),
      onResponseError: () => resolve({bytes, end: 'failed'}),
    };
    agent.dispatch(
      {origin: `http://${HOST}:${port}`, path: '/', method: 'GET'},
      handler,
    );
  });
  await agent.destroy();
  server.close();
  return received;
}

const PART = 'x'.repeat(PART_BYTES);

// Guards against an assertion of the HTTP client that ended the process.
t.test('an answer may end while its reader is paused', async t => {
  const received = await readPausing(async socket => {
    socket.write(HEAD + PART);
    await sleep(PAUSE_MS / 2);
    socket.end(PART);
  });
  t.same(received, {bytes: 2 * PART_BYTES, end: 'whole'});
});

t.test('an answer may end in order once all of it was read', async t => {
  const received = await readPausing(async socket => {
    socket.write(HEAD + PART);
    await sleep(3 * PAUSE_MS);
    socket.end();
  });
  t.same(received, {bytes: PART_BYTES, end: 'whole'});
});

// Guards against answers that a reset cut and that count as whole.
t.test('an answer fails that is reset while its reader is paused', async t => {
  const received = await readPausing(async socket => {
    socket.write(HEAD + PART);
    await sleep(PAUSE_MS / 2);
    socket.write(PART, () => socket.resetAndDestroy());
  });
  t.equal(received.end, 'failed');
});
