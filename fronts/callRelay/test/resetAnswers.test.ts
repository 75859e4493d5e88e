import {connect} from 'node:net';
import type {Socket} from 'node:net';

import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
  formatAnswer,
} from './relayFixture.js';
import type {RelayFixture} from './relayFixture.js';

const TRIES = 12;
const EVENTS = 'content-type: text/event-stream\r\n\r\n';
const TEXT = 'content-type: text/plain\r\n\r\n';
/** More than the buffers between an endpoint and a caller hold. */
const LARGE_BYTES = 5 * 1024 * 1024;
/** How an endpoint ends its answer. */
interface Ending {
  readonly name: string;
  readonly isWhole: boolean;
  end(socket: Socket, bytes: string): void;
}

const ENDINGS: readonly Ending[] = [
  {name: 'ends', isWhole: true, end: (socket, bytes) => socket.end(bytes)},
  {
    name: 'ends after a pause',
    isWhole: true,
    end: (socket, bytes) => {
      socket.write(bytes);
      setTimeout(() => socket.end(), 20);
    },
  },
  {
    name: 'is reset with its last bytes',
    isWhole: false,
    end: (socket, bytes) => {
      socket.write(bytes, () => socket.resetAndDestroy());
    },
  },
  {
    name: 'is reset after a pause',
    isWhole: false,
    end: (socket, bytes) => {
      socket.write(bytes);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
  },
];

const BODIES = [
  {name: 'a small answer', bytes: TEXT + 'certificate '.repeat(200)},
  {name: 'an empty answer', bytes: TEXT},
  {name: 'a stream between two events', bytes: `${EVENTS}id: 1\ndata: a\n\n`},
  {name: 'a large answer', bytes: TEXT + 'x'.repeat(LARGE_BYTES)},
];

/** Runs one call of an endpoint that ends its answer in some way. */
async function runCall(
  fixture: RelayFixture,
  id: string,
  url: string,
): Promise<{readonly end: string; readonly isWhole: boolean}> {
  const received = fixture.next('requestReceived');
  const answered = fixture.call(id);
  const {attributes} = await received;
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, url);
  const end = describeEnd((await ended).end);
  fixture.fail(attributes);
  const answer = await answered;
  const isWhole =
    !(answer instanceof Error) && answer.status === 200 && answer.isWhole;
  return {end, isWhole};
}

// Guards against answers that a reset cut and that callers take for whole.
for (const {name: body, bytes} of BODIES) {
  for (const {name, isWhole, end} of ENDINGS) {
    t.test(`${body} without a length that ${name}`, async t => {
      const fixture = await createRelayFixture();
      const endpoint = await createRawEndpoint(socket =>
        end(socket, formatAnswer('q1', bytes)),
      );
      for (let count = 0; count < TRIES; count += 1) {
        const result = await runCall(fixture, 'q1', endpoint.url);
        t.same(result, {end: isWhole ? 'complete' : 'cut', isWhole});
      }
      endpoint.close();
      await fixture.close();
    });
  }
}

/** Sends a call without HTTP/1.1; returns how its connection ended. */
function callInHttp10(port: number): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    socket.write('GET /x/1 HTTP/1.0\r\nx-call: q1\r\n\r\n');
    socket.on('data', () => undefined);
    socket.on('end', () => resolve('end'));
    socket.on('error', () => resolve('reset'));
  });
}

// Guards against a cut answer that a caller without chunks takes for whole.
t.test('a cut answer ends the connection of HTTP/1.0 by a reset', async t => {
  const fixture = await createRelayFixture();
  const endpoint = await createRawEndpoint(socket => {
    socket.write(formatAnswer('q1', `${TEXT}certificate`));
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const received = fixture.next('requestReceived');
  const answered = callInHttp10(fixture.port);
  const {attributes} = await received;
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url);
  t.equal(describeEnd((await ended).end), 'cut');
  fixture.fail(attributes);
  t.equal(await answered, 'reset');
  endpoint.close();
  await fixture.close();
});
