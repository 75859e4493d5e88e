import {Worker} from 'node:worker_threads';

import {createManualClock} from '@gentianshunt/clock';
import {
  createLoopMonitor,
  createManualLoop,
  createSystemClock,
} from '@gentianshunt/runtime';
import {toFingerprint} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {FingerprintId, PromptPartId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
  formatAnswer,
} from './relayFixture.js';
import type {RawEndpoint} from './relayFixture.js';

const BLOCKED_MS = 600;
const CALLER_PATIENCE_MS = 100;
const SETTLE_MS = 300;

/** A caller in another thread, which disconnects on time in any case. */
const CALLER_SOURCE = `
const {connect} = require('node:net');
const {workerData: {port, patienceMs}} = require('node:worker_threads');
const socket = connect(port, '127.0.0.1');
socket.write('GET /x/1 HTTP/1.1\\r\\nhost: a.example\\r\\nx-call: q1\\r\\n\\r\\n');
setTimeout(() => socket.resetAndDestroy(), patienceMs);
`;

function startCaller(port: number): Worker {
  const workerData = {port, patienceMs: CALLER_PATIENCE_MS};
  return new Worker(CALLER_SOURCE, {eval: true, workerData});
}

/** A caller in another thread, which disconnects right after its call. */
const LEAVING_CALLER_SOURCE = `
const {connect} = require('node:net');
const {workerData: {port, isDone}} = require('node:worker_threads');
const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true}, () => {
  const head = 'GET /x/1 HTTP/1.1\\r\\nhost: a.example\\r\\nx-call: q1\\r\\n\\r\\n';
  socket.end(head, () => {
    Atomics.store(isDone, 0, 1);
    Atomics.notify(isDone, 0);
  });
});
socket.on('error', () => undefined);
`;

function createEndpoint(): Promise<RawEndpoint> {
  return createRawEndpoint(socket =>
    socket.write(formatAnswer('q1', 'content-length: 2\r\n\r\nok')),
  );
}

function blockEventLoop(durationMs: number): void {
  const until = performance.now() + durationMs;
  while (performance.now() < until) {
    // Keeps the thread busy.
  }
}

async function wait(durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs));
}

t.test(
  'a call is not sent if its caller left while the event loop was blocked',
  async t => {
    const clock = createSystemClock();
    const loop = createLoopMonitor({clock});
    const fixture = await createRelayFixture({clock, loop});
    const endpoint = await createEndpoint();
    const caller = startCaller(fixture.port);
    const {attributes} = await fixture.next('requestReceived');
    blockEventLoop(BLOCKED_MS);
    fixture.dispatch(attributes, endpoint.url);
    await wait(SETTLE_MS);
    t.same(endpoint.heads, [], 'nothing reached the endpoint');
    t.ok(fixture.observations.some(({kind}) => kind === 'callerGone'));
    await caller.terminate();
    endpoint.close();
    loop.close();
    await fixture.close();
  },
);

t.test(
  'a call is not admitted if its caller left before it was read',
  async t => {
    const clock = createSystemClock();
    const loop = createLoopMonitor({clock});
    const fixture = await createRelayFixture({clock, loop});
    const isDone = new Int32Array(new SharedArrayBuffer(4));
    const workerData = {port: fixture.port, isDone};
    const caller = new Worker(LEAVING_CALLER_SOURCE, {eval: true, workerData});
    // Blocks the event loop until the caller has left.
    Atomics.wait(isDone, 0, 0);
    await wait(SETTLE_MS);
    t.same(fixture.observations, []);
    await caller.terminate();
    loop.close();
    await fixture.close();
  },
);

t.test('a call is not sent after its deadline', async t => {
  const clock = createManualClock();
  const fixture = await createRelayFixture({clock});
  const endpoint = await createEndpoint();
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  clock.advance(attributes.routePolicy!.timeLimitMs);
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url);
  t.equal(describeEnd((await ended).end), 'withheld timeLimit');
  fixture.fail(attributes);
  await answered;
  t.same(endpoint.heads, []);
  endpoint.close();
  await fixture.close();
});

t.test(
  'the deadline of a call counts the time that it waited unread',
  async t => {
    const lagMs = 400;
    const clock = createManualClock();
    const loop = createManualLoop(lagMs);
    const fixture = await createRelayFixture({clock, loop});
    const endpoint = await createEndpoint();
    const received = fixture.next('requestReceived');
    const answered = fixture.call('q1');
    const {attributes} = await received;
    clock.advance(attributes.routePolicy!.timeLimitMs - lagMs);
    const ended = fixture.next('streamEnded');
    fixture.dispatch(attributes, endpoint.url);
    loop.finishReading();
    t.equal(describeEnd((await ended).end), 'withheld timeLimit');
    fixture.fail(attributes);
    await answered;
    endpoint.close();
    await fixture.close();
  },
);

t.test('a call is refused as not run while the event loop is late', async t => {
  const fixture = await createRelayFixture({loop: createManualLoop(2_000)});
  const answer = await fixture.call('q1');
  t.match(answer, {status: 503, body: 'overloaded'});
  t.notOk(fixture.observations.some(({kind}) => kind === 'requestReceived'));
  await fixture.close();
});

t.test(
  'a call is not sent to an endpoint that left after dispatch',
  async t => {
    const loop = createManualLoop(100);
    const fixture = await createRelayFixture({loop});
    const endpoint = await createEndpoint();
    const received = fixture.next('requestReceived');
    const answered = fixture.call('q1');
    const {attributes} = await received;
    const ended = fixture.next('streamEnded');
    const {target} = fixture.dispatch(attributes, endpoint.url);
    fixture.withdrawnEndpoints.set(target.endpoint, Number.POSITIVE_INFINITY);
    loop.finishReading();
    t.equal(describeEnd((await ended).end), 'withheld endpointLeft');
    fixture.fail(attributes);
    await answered;
    t.same(endpoint.heads, []);
    endpoint.close();
    await fixture.close();
  },
);

const quarantines = [
  {
    fingerprint: toFingerprint(toIdentifier('abc')),
    cause: 'promptQuarantined',
  },
  {
    fingerprint: toFingerprint(toIdentifier('request.abc')),
    cause: 'requestQuarantined',
  },
];

for (const {fingerprint, cause} of quarantines) {
  t.test(`a call is not sent once it is withheld: ${cause}`, async t => {
    const loop = createManualLoop(100);
    const fixture = await createRelayFixture({loop});
    const endpoint = await createEndpoint();
    const received = fixture.next('requestReceived');
    const answered = fixture.call('q1');
    const {attributes} = await received;
    const ended = fixture.next('streamEnded');
    const requestFingerprint = toIdentifier<FingerprintId>('request.abc');
    const promptParts = [toIdentifier<PromptPartId>('abc')];
    fixture.dispatch(
      {...attributes, promptParts, requestFingerprint},
      endpoint.url,
    );
    fixture.quarantines.set(fingerprint.id, {
      fingerprint,
      set: attributes.set,
      revision: 1,
      changedAt: 0,
      level: 1,
      crashes: 2,
      reporters: 2,
      state: {kind: 'held', from: 0, until: Number.POSITIVE_INFINITY},
    });
    loop.finishReading();
    t.equal(describeEnd((await ended).end), `withheld ${cause}`);
    fixture.fail(attributes);
    await answered;
    t.same(endpoint.heads, []);
    endpoint.close();
    await fixture.close();
  });
}
