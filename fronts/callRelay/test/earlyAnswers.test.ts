import type {Socket} from 'node:net';

import t from 'tap';

import {createRawEndpoint, createRelayFixture} from './relayFixture.js';

const PART = 'part of an answer '.repeat(40);
const RESET_AFTER_MS = 20;
const LENGTH = `content-length: ${10 * PART.length}\r\n\r\n`;
const CHUNKED = `transfer-encoding: chunked\r\n\r\n${PART.length.toString(16)}\r\n`;
const UPLOADS = [
  {name: 'a short upload', body: Buffer.alloc(10, 'u')},
  {name: 'a long upload', body: Buffer.alloc(600_000, 'u')},
];

/** How an endpoint breaks off an answer that it began before the upload's end. */
interface Breach {
  readonly name: string;
  readonly bytes: string;
  breakOff(socket: Socket): void;
}

const BREACHES: readonly Breach[] = [
  {
    name: 'no length, reset after a while',
    bytes: `\r\n${PART}`,
    breakOff: resetLater,
  },
  {
    name: 'no length, reset at once',
    bytes: `\r\n${PART}`,
    breakOff: socket => socket.resetAndDestroy(),
  },
  {
    name: 'no length, closed with the upload unread',
    bytes: `connection: close\r\n\r\n${PART}`,
    breakOff: socket => {
      socket.pause();
      setTimeout(() => socket.destroy(), RESET_AFTER_MS);
    },
  },
  {
    name: 'a length, reset after a part',
    bytes: LENGTH + PART,
    breakOff: resetLater,
  },
  {
    name: 'chunks, reset after one',
    bytes: `${CHUNKED}${PART}\r\n`,
    breakOff: resetLater,
  },
];

function resetLater(socket: Socket): void {
  setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
}

// Guards against an answer that was begun before the upload's end, was broken
// off by a reset, and that the caller takes for complete.
for (const {name: upload, body} of UPLOADS) {
  for (const {name, bytes, breakOff} of BREACHES) {
    // A short upload has been read, so that a close may end its answer in order.
    if (body.length < PART.length && name.includes('unread')) {
      continue;
    }
    t.test(`${upload} answered early: ${name}`, async t => {
      const fixture = await createRelayFixture();
      const endpoint = await createRawEndpoint((socket, count) => {
        if (count === 1) {
          const head = 'HTTP/1.1 200 OK\r\nx-call: q1\r\nx-proof: p\r\n';
          socket.write(head + bytes, () => breakOff(socket));
        }
      });
      const received = fixture.next('requestReceived');
      const answered = fixture.call('q1', body);
      const {attributes} = await received;
      const ended = fixture.next('streamEnded');
      fixture.dispatch(attributes, endpoint.url);
      t.equal((await ended).end.kind, 'cut');
      fixture.fail(attributes);
      const answer = await answered;
      const isWhole = !(answer instanceof Error) && answer.isWhole;
      t.notOk(isWhole && answer.status === 200, 'not complete to the caller');
      endpoint.close();
      await fixture.close();
    });
  }
}

const NOT_STATUSES = ['000', '099', '600', '999', '1000', '20', 'abc', '-200'];

// Guards against a status that no answer can have and that the caller gets.
for (const status of NOT_STATUSES) {
  for (const isRetryable of [true, false]) {
    const kind = isRetryable ? 'that may be repeated' : 'that runs once';
    t.test(`status ${status} for a call ${kind}`, async t => {
      const fixture = await createRelayFixture();
      const endpoint = await createRawEndpoint(socket =>
        socket.write(
          `HTTP/1.1 ${status} Odd\r\nx-call: q1\r\nx-proof: p\r\ncontent-length: 4\r\n\r\ndone`,
        ),
      );
      const received = fixture.next('requestReceived');
      const answered = fixture.call('q1');
      const {attributes} = await received;
      const ended = fixture.next('streamEnded');
      fixture.dispatch(attributes, endpoint.url, {isRetryable});
      t.equal((await ended).end.kind, 'cut', 'bytes that are no answer');
      fixture.fail(attributes);
      const answer = await answered;
      t.equal(answer instanceof Error ? 'error' : answer.status, 502);
      endpoint.close();
      await fixture.close();
    });
  }
}
