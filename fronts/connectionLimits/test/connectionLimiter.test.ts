import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

import {PAUSED_CONNECTION_BYTES} from '@gentianshunt/memoryAccount';
import t from 'tap';

import {
  countText,
  createCollector,
  formatRequest,
  readUntil,
  startLimitedServer,
} from './limiterFixture.js';

const AMPLE_BYTES = 1_024 * 1_024;
const POLL_MS = 5;

async function awaitTrue(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await sleep(POLL_MS);
  }
}

// Guards against requests that are all begun as fast as a client sends them.
t.test('one request of a connection is under way at a time', async t => {
  const {started, open, listener} = createCollector();
  const {limiter, open: connect} = await startLimitedServer(
    t,
    AMPLE_BYTES,
    listener,
  );
  const socket = connect();
  socket.write(['/1', '/2', '/3'].map(path => formatRequest(path)).join(''));
  const answers = readUntil(socket, text => countText(text, 'done') === 3);
  for (const expected of [['/1'], ['/1', '/2'], ['/1', '/2', '/3']]) {
    await awaitTrue(() => started.length === expected.length);
    await sleep(POLL_MS);
    t.same(started, expected);
    open.at(-1)!.end('done');
  }
  t.equal(countText(await answers, 'HTTP/1.1 200'), 3);
  t.equal(limiter.heldBytes, 0);
  t.equal(limiter.closedCount, 0);
});

// Guards against bytes that are lost or joined while a connection is paused.
for (const framing of ['length', 'chunks'] as const) {
  t.test(`bodies sent ahead (${framing}) arrive whole`, async t => {
    const bodies = Array.from({length: 40}, (_, index) =>
      `${index}.`.repeat(1 + index * 97),
    );
    const received: string[] = [];
    const server = await startLimitedServer(
      t,
      AMPLE_BYTES,
      (request, response) => {
        let body = '';
        request.on('data', chunk => {
          body += String(chunk);
        });
        request.on('end', () => {
          received.push(body);
          setImmediate(() => response.end('done'));
        });
      },
    );
    const socket = server.open();
    const answers = readUntil(
      socket,
      text => countText(text, 'done') === bodies.length,
    );
    socket.write(
      bodies.map(body => formatRequest('/', body, framing)).join(''),
    );
    await answers;
    t.equal(received.join(), bodies.join());
    t.equal(server.limiter.heldBytes, 0);
  });
}

// Guards against a process that holds what many clients send ahead.
t.test('connections beyond the memory for requests ahead', async t => {
  const {started, open, listener} = createCollector();
  const {limiter, open: connect} = await startLimitedServer(
    t,
    2 * PAUSED_CONNECTION_BYTES,
    listener,
  );
  const ahead = formatRequest('/ahead').repeat(100);
  const sockets = Array.from({length: 8}, connect);
  sockets.forEach(socket => {
    socket.resume();
    socket.write(ahead);
  });
  const closes = sockets.map(socket => once(socket, 'close'));
  await Promise.race(closes);
  // Each connection begins one request before it is found to send ahead.
  await awaitTrue(() => limiter.closedCount >= 6 && started.length >= 8);
  t.equal(started.length, 8, 'no connection has begun a second request');
  t.ok(limiter.heldBytes <= 2 * PAUSED_CONNECTION_BYTES);
  open.forEach(response => response.end('done'));
  sockets.forEach(socket => socket.destroy());
  await awaitTrue(() => limiter.heldBytes === 0);
  const last = connect();
  const answer = readUntil(last, text => text.includes('done'));
  last.write(formatRequest('/last'));
  await awaitTrue(() => started.at(-1) === '/last');
  open.at(-1)!.end('done');
  t.match(await answer, /^HTTP\/1.1 200/, 'a later client is answered');
});

// Guards against requests that begin after their client has left.
t.test('requests that wait are dropped with their connection', async t => {
  const {started, open, listener} = createCollector();
  const {limiter, open: connect} = await startLimitedServer(
    t,
    AMPLE_BYTES,
    listener,
  );
  const socket = connect();
  socket.write(formatRequest('/1') + formatRequest('/2'));
  await awaitTrue(() => limiter.heldBytes > 0);
  socket.destroy();
  await once(open[0]!, 'close');
  await awaitTrue(() => limiter.heldBytes === 0);
  t.same(started, ['/1']);
});

const MAX_CONNECTIONS = 24;

// Guards against clients that hold all connections and send nothing.
t.test('idle connections make room for a call', async t => {
  const {open: connect} = await startLimitedServer(
    t,
    AMPLE_BYTES,
    (_request, response) => response.end('done'),
    MAX_CONNECTIONS,
  );
  for (let opened = 0; opened < 2 * MAX_CONNECTIONS; opened += 1) {
    await once(connect(), 'connect');
  }
  const socket = connect();
  socket.write(formatRequest('/1'));
  const answer = await readUntil(socket, text => text.includes('done'));
  t.match(answer, /^HTTP\/1\.1 200/);
});
