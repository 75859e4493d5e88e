import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
  formatAnswer,
} from './relayFixture.js';

const EVENTS = 'content-type: text/event-stream\r\n\r\n';
const FIRST = 'id: 1\ndata: a\n\n';
const SECOND = 'id: 2\ndata: b\n\n';
const WAIT_MS = 50;

async function wait(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, WAIT_MS));
}

// Guards against events that callers get before others know what began their stream.
t.test('a held answer reaches the caller once it is released', async t => {
  const fixture = await createRelayFixture({holdsAnswers: true});
  const endpoint = await createRawEndpoint(socket => {
    socket.write(formatAnswer('q1', EVENTS + FIRST));
    setTimeout(() => socket.end(SECOND), WAIT_MS / 2);
  });
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  const started = fixture.next('streamStarted');
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url);
  await started;
  const first = await Promise.race([answered, wait().then(() => 'held')]);
  t.equal(first, 'held');
  fixture.relay.perform({kind: 'releaseAnswer', request: attributes.id});
  t.match(await answered, {status: 200, body: FIRST + SECOND, isWhole: true});
  t.equal(describeEnd((await ended).end), 'complete');
  endpoint.close();
  await fixture.close();
});

t.test(
  'what a broken answer held is not delivered by the next one',
  async t => {
    const fixture = await createRelayFixture({holdsAnswers: true});
    const endpoint = await createRawEndpoint((socket, count) => {
      if (count === 1) {
        socket.write(formatAnswer('q1', EVENTS + FIRST));
        setTimeout(() => socket.resetAndDestroy(), WAIT_MS / 2);
      } else {
        socket.end(formatAnswer('q1', EVENTS + FIRST + SECOND));
      }
    });
    const received = fixture.next('requestReceived');
    const answered = fixture.call('q1');
    const {attributes} = await received;
    const broken = fixture.next('streamEnded');
    const options = {isRetryable: true, isResumable: true};
    const dispatch = fixture.dispatch(attributes, endpoint.url, options);
    await fixture.next('streamStarted');
    await wait();
    fixture.relay.perform({kind: 'cancelStream', dispatch});
    await Promise.race([broken, wait()]);
    const started = fixture.next('streamStarted');
    fixture.dispatch(attributes, endpoint.url, {...options, attempt: 2});
    await started;
    fixture.relay.perform({kind: 'releaseAnswer', request: attributes.id});
    t.match(await answered, {status: 200, body: FIRST + SECOND, isWhole: true});
    endpoint.close();
    await fixture.close();
  },
);
