import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';

import {fastify} from 'fastify';
import t from 'tap';

import {createManualClock} from '@gentianshunt/clock';
import {MAX_ACCEPT_QUEUE} from '@gentianshunt/policy';

import {listenForCalls} from '../src/index.js';

const HOST = '127.0.0.1';
const CALLERS = 4 * MAX_ACCEPT_QUEUE;
const CONNECT_TIME_MS = 400;

/** Callers in another thread, which count how many of them are connected. */
const CALLERS_SOURCE = `
const {connect} = require('node:net');
const {workerData: {port, callers, waitMs, result}} = require('node:worker_threads');
for (let index = 0; index < callers; index += 1) {
  connect(port, '127.0.0.1', () => Atomics.add(result, 1, 1)).on('error', () => undefined);
}
setTimeout(() => {
  Atomics.store(result, 0, 1);
  Atomics.notify(result, 0);
}, waitMs);
`;

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

t.test(
  'callers do not queue without limit in front of a busy entry',
  async t => {
    const server = fastify({forceCloseConnections: true});
    const port = await findPort();
    await listenForCalls(
      server,
      {host: HOST, port},
      {
        clock: createManualClock(),
        onSample: () => undefined,
        onDelayed: () => undefined,
      },
    );
    const result = new Int32Array(new SharedArrayBuffer(8));
    const workerData = {
      port,
      callers: CALLERS,
      waitMs: CONNECT_TIME_MS,
      result,
    };
    const callers = new Worker(CALLERS_SOURCE, {eval: true, workerData});
    // Blocks the event loop, so that no connection is accepted.
    Atomics.wait(result, 0, 0);
    const connected = Atomics.load(result, 1);
    t.ok(connected > 0, `${connected} connected`);
    t.ok(connected <= MAX_ACCEPT_QUEUE + 1, `${connected} connected`);
    await callers.terminate();
    await server.close();
  },
);
