import {setTimeout as sleep} from 'node:timers/promises';

import {createSystemClock} from '@gentianshunt/runtime';
import {fastify} from 'fastify';
import t from 'tap';

import {addBufferParser, createMemoryGate} from '../src/index.js';

const KB = 1_024;
const BUDGET = 1_024 * KB;
const DOCUMENT_BYTES = 300 * KB;
const WAITING = 8;
/** Longer than a document waits for memory. */
const ANSWER_MS = 1_500;

t.test('documents that wait do not take more than their memory', async t => {
  const clock = createSystemClock();
  const gate = createMemoryGate(BUDGET, clock);
  const server = fastify();
  const findOptions = () => ({
    gate,
    clock,
    maxBytes: BUDGET,
    readTerms: () => ({rank: 1, timeLimitMs: 10_000}),
  });
  addBufferParser(server, findOptions, 'untilAnswered');
  let waitingBytes = 0;
  let mostBytes = 0;
  server.put('/', async request => {
    const {length} = request.body as Buffer;
    waitingBytes += length;
    mostBytes = Math.max(mostBytes, waitingBytes);
    await sleep(ANSWER_MS);
    waitingBytes -= length;
    return {};
  });
  const url = await server.listen({host: '127.0.0.1', port: 0});
  const body = Buffer.alloc(DOCUMENT_BYTES, 'a');
  const answers = await Promise.all(
    Array.from({length: WAITING}, () => fetch(url, {method: 'PUT', body})),
  );
  const statuses = new Set(answers.map(({status}) => status));
  t.same(statuses, new Set([200, 503]));
  t.ok(mostBytes <= BUDGET, `${mostBytes} bytes`);
  await server.close();
  t.equal(gate.reservedBytes, 0, 'all memory is given back');
});
