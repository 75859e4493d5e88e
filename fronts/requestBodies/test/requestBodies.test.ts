import {createHash} from 'node:crypto';
import {PassThrough} from 'node:stream';
import {createServer, request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {createManualClock} from '@gentianshunt/clock';
import {createSystemClock} from '@gentianshunt/runtime';
import t from 'tap';
import type {Test} from 'tap';

import {createMemoryGate, readRequestBody} from '../src/index.js';
import type {MemoryGate, ReceivedBody} from '../src/index.js';

const KB = 1_024;
const BUDGET = 1_024 * KB;
const MAX_BYTES = 512 * KB;
const TERMS = {rank: 1, timeLimitMs: 1_000};

/** Starts to read a body whose bytes the test writes. */
function createSender(gate: MemoryGate, length?: number, terms = TERMS) {
  const stream = new PassThrough();
  const headers = length === undefined ? {} : {'content-length': `${length}`};
  const raw = Object.assign(stream, {headers}) as unknown as IncomingMessage;
  const received = new Promise<ReceivedBody>(resolve =>
    readRequestBody(
      raw,
      {
        gate,
        clock: createSystemClock(),
        maxBytes: MAX_BYTES,
        readTerms: () => terms,
      },
      resolve,
    ),
  );
  return {stream, received};
}

async function awaitBody(received: Promise<ReceivedBody>) {
  const result = await received;
  if (result.kind !== 'received') {
    throw new Error(result.kind);
  }
  return result.body;
}

function createBytes(length: number): Buffer {
  return Buffer.from(Array.from({length}, (_, index) => index % 251));
}

for (const length of [1, 64 * KB, 64 * KB + 1, 300 * KB]) {
  for (const isDeclared of [true, false]) {
    const form = isDeclared ? 'with' : 'without';
    t.test(`a body of ${length} bytes ${form} a length`, async t => {
      const gate = createMemoryGate(BUDGET, createManualClock());
      const bytes = createBytes(length);
      const sender = createSender(gate, isDeclared ? length : undefined);
      sender.stream.write(bytes.subarray(0, 1_000));
      sender.stream.end(bytes.subarray(1_000));
      const body = await awaitBody(sender.received);
      t.equal(body.length, length);
      t.ok(gate.reservedBytes >= length);
      const payload = body.toPayload()!;
      const sent = Buffer.isBuffer(payload) ? [payload] : [...payload];
      t.ok(Buffer.concat(sent).equals(bytes));
      t.ok(body.toBuffer().equals(bytes));
      t.ok(body.digest().equals(createHash('sha256').update(bytes).digest()));
      body.release();
      body.release();
      t.equal(gate.reservedBytes, 0);
    });
  }
}

// Guards against an endpoint that gets bytes of another request.
t.test('a block that is being written is not used again', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const length = 128 * KB;
  const first = createSender(gate, length);
  first.stream.end(createBytes(length));
  const body = await awaitBody(first.received);
  const payload = (body.toPayload() as Iterable<Buffer>)[Symbol.iterator]();
  payload.next();
  const written = payload.next().value as Buffer;
  const before = Buffer.from(written);
  body.release();
  const second = createSender(gate, MAX_BYTES);
  second.stream.end(Buffer.alloc(MAX_BYTES, 'z'));
  await awaitBody(second.received);
  t.ok(written.equals(before));
});

t.test('sending a released body fails', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const length = 300 * KB;
  const sender = createSender(gate, length);
  sender.stream.end(createBytes(length));
  const body = await awaitBody(sender.received);
  const payload = (body.toPayload() as Iterable<Buffer>)[Symbol.iterator]();
  t.notOk(payload.next().done);
  body.release();
  t.throws(() => payload.next(), {code: 'ERR_BODY_RELEASED'});
  t.throws(() => body.toPayload(), {code: 'ERR_BODY_RELEASED'});
});

t.test('a body waits unread until memory is free', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const held = gate.addHeld(BUDGET);
  const sender = createSender(gate, 100 * KB);
  sender.stream.end(createBytes(100 * KB));
  await sleep(20);
  t.equal(gate.waitingClaims, 1);
  t.equal(gate.reservedBytes, BUDGET);
  held.release();
  t.equal((await awaitBody(sender.received)).length, 100 * KB);
});

t.test('a body that waits too long is refused', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  gate.addHeld(BUDGET);
  const sender = createSender(gate, 10);
  t.same(await sender.received, {kind: 'memoryFull'});
  t.equal(gate.waitingClaims, 0);
});

for (const length of [undefined, 100 * KB]) {
  t.test('a caller that leaves frees memory and its place', async t => {
    const gate = createMemoryGate(BUDGET, createManualClock());
    const first = createSender(gate, length);
    first.stream.write(createBytes(KB));
    const held = gate.addHeld(BUDGET);
    const second = createSender(gate, length);
    await sleep(20);
    first.stream.destroy();
    second.stream.destroy();
    await sleep(20);
    held.release();
    t.equal(gate.reservedBytes, 0);
    t.equal(gate.waitingClaims, 0);
  });
}

t.test('a body without end is refused at the limit', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const sender = createSender(gate);
  const timer = setInterval(() => sender.stream.write(createBytes(64 * KB)), 1);
  t.same(await sender.received, {kind: 'tooLarge'});
  t.equal(gate.reservedBytes, 0);
  await new Promise(resolve => sender.stream.once('close', resolve));
  clearInterval(timer);
});

/** Sends a chunked body over TCP; its first block waits, then its last chunk. */
async function sendWaitingChunk(t: Test, gate: MemoryGate) {
  const results: ReceivedBody[] = [];
  const options = {
    gate,
    clock: createManualClock(),
    maxBytes: MAX_BYTES,
    readTerms: () => TERMS,
  };
  const server = createServer((raw, response) =>
    readRequestBody(raw, options, received => {
      results.push(received);
      response.end(received.kind);
    }),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close().closeAllConnections());
  const {port} = server.address() as AddressInfo;
  const sender = request({port, host: '127.0.0.1', method: 'POST'});
  sender.on('error', () => undefined);
  sender.on('response', response => response.resume());
  const held = gate.addHeld(BUDGET - 64 * KB);
  const firstBlock = gate.addHeld(64 * KB);
  sender.write(createBytes(10_000));
  await sleep(50);
  sender.end(createBytes(55_600));
  await sleep(50);
  firstBlock.release();
  await sleep(20);
  return {sender, held, results};
}

t.test('a caller whose last chunk waits gets an answer', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const {held, results} = await sendWaitingChunk(t, gate);
  t.equal(gate.waitingClaims, 1);
  held.release();
  await sleep(50);
  t.match(results, [{kind: 'received', body: {length: 65_600}}]);
});

t.test('a caller whose last chunk waits too long is refused', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const {results} = await sendWaitingChunk(t, gate);
  await sleep(250);
  t.same(results, [{kind: 'memoryFull'}]);
});

t.test('a caller that leaves while its last chunk waits', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const {sender, results} = await sendWaitingChunk(t, gate);
  t.equal(gate.waitingClaims, 1);
  sender.destroy();
  await sleep(50);
  t.equal(gate.waitingClaims, 0);
  t.equal(gate.reservedBytes, BUDGET - 64 * KB);
  t.same(results, []);
});

const PATIENT = {rank: 1, timeLimitMs: 10_000};

t.test('a pause is no reason to refuse while memory is free', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const sender = createSender(gate, 10, PATIENT);
  sender.stream.write(createBytes(5));
  await sleep(2_700);
  sender.stream.end(createBytes(5));
  t.equal((await awaitBody(sender.received)).length, 10);
});

t.test('a silent body gives way to claims that wait', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const sender = createSender(gate, 10, PATIENT);
  gate.addHeld(BUDGET);
  gate.request({
    kind: 'small',
    bytes: 10,
    ownBytes: 0,
    readTerms: () => ({rank: 1, maxWaitMs: 4_000}),
    onDecided: () => undefined,
  });
  t.same(await sender.received, {kind: 'tooSlow'});
});

t.test('a body is refused at its time limit, not later', async t => {
  const gate = createMemoryGate(BUDGET, createManualClock());
  const sender = createSender(gate, 10, {rank: 1, timeLimitMs: 100});
  const late = sleep(350, 'late', {ref: false});
  t.same(await Promise.race([sender.received, late]), {kind: 'tooSlow'});
});

async function sendBytesSingly(length: number): Promise<ReceivedBody> {
  const sender = createSender(createMemoryGate(BUDGET, createManualClock()));
  for (let sent = 0; sent < length; sent += 1) {
    sender.stream.write('x');
  }
  sender.stream.end();
  return sender.received;
}

t.test('a body in chunks of one byte is received', async t => {
  t.match(await sendBytesSingly(4_000), {
    kind: 'received',
    body: {length: 4_000},
  });
});

// Guards against bodies that cost far more work and memory than their bytes.
t.test('a body that is mostly framing is refused', async t => {
  t.same(await sendBytesSingly(20_000), {kind: 'tooFragmented'});
});
