import t from 'tap';

import {createTimerTable} from '../src/index.js';

const SETTLE_MS = 50;

for (const delayMs of [2 ** 31, 1e308, Number.POSITIVE_INFINITY]) {
  t.test(`a timer of ${delayMs} ms is not due at once`, async t => {
    const due: string[] = [];
    const timers = createTimerTable({onDue: ({kind}) => due.push(kind)});
    timers.set({kind: 'late'}, delayMs);
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    t.same(due, []);
    timers.clear();
  });
}
