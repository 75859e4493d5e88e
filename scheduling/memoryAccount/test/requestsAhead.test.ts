import t from 'tap';

import {decideArrival} from '../src/index.js';

const MAX_BYTES = 1_000;

// Guards against clients that fill the memory with requests sent ahead.
t.test('what arrives behind an unanswered request', async t => {
  const decide = (isServing: boolean, heldBytes: number) =>
    decideArrival({isServing, heldBytes, maxBytes: MAX_BYTES}).kind;
  t.equal(decide(false, 5_000), 'begin', 'the first is begun in any case');
  t.equal(decide(true, MAX_BYTES), 'wait');
  t.equal(decide(true, MAX_BYTES + 1), 'close');
});
