import t from 'tap';

import {
  decideAcceptQueue,
  LENGTHEN_AFTER_MS,
  MAX_ACCEPT_QUEUE,
  MAX_ACCEPT_WAIT_MS,
  MIN_ACCEPT_QUEUE,
} from '../src/index.js';
import type {AcceptQueue} from '../src/index.js';

function createQueue(changes: Partial<AcceptQueue> = {}): AcceptQueue {
  return {length: 16, waitMs: 50, shortForMs: 0, ...changes};
}

t.test('the last one waits as long as is allowed', async t => {
  const queue = createQueue({waitMs: 4 * MAX_ACCEPT_WAIT_MS});
  t.equal(decideAcceptQueue(queue), 4);
});

t.test('a queue is not shortened without end', async t => {
  const queue = createQueue({waitMs: 60_000});
  t.equal(decideAcceptQueue(queue), MIN_ACCEPT_QUEUE);
});

t.test('a wait that is allowed changes nothing', async t => {
  t.equal(decideAcceptQueue(createQueue()), 16);
});

t.test('a queue is lengthened after a while of short waits', async t => {
  const shortForMs = LENGTHEN_AFTER_MS;
  const queue = createQueue({waitMs: 1, shortForMs});
  t.equal(decideAcceptQueue(queue), 32);
  t.equal(decideAcceptQueue({...queue, length: 32}), MAX_ACCEPT_QUEUE);
});
