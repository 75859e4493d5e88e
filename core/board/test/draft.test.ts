import {
  array,
  assert,
  constantFrom,
  integer,
  property,
  record,
} from 'fast-check';
import t from 'tap';

import {
  compareValues,
  createBoard,
  createOrderedDraft,
  defineOrdered,
} from '../src/index.js';

const SEED = 20261204;
const RUNS = 300;
const MAX_KEY = 9;

interface Step {
  readonly kind: 'put' | 'delete';
  readonly key: number;
}

function createOrderedBoard(keys: readonly number[]) {
  const board = createBoard({
    sections: {numbers: defineOrdered<number, number>(compareValues)},
  });
  for (const key of keys) {
    board.commit({kind: 'put', section: 'numbers', key, value: 0});
  }
  return board;
}

/** The entries that a plain map has after the same steps. */
function listExpected(
  keys: readonly number[],
  steps: readonly Step[],
  from: number,
) {
  const model = new Map(keys.map(key => [key, 0]));
  steps.forEach(({kind, key}, index) => {
    if (kind === 'put') {
      model.set(key, index + 1);
    } else {
      model.delete(key);
    }
  });
  return [...model]
    .sort(([left], [right]) => left - right)
    .map(([key, value]) => ({key, value}))
    .filter(({key}) => key >= from);
}

t.test('a draft reads and writes the result of its steps', async t => {
  const key = integer({min: 0, max: MAX_KEY});
  const steps = array(record({kind: constantFrom('put', 'delete'), key}));
  assert(
    property(array(key), steps, key, (keys, steps, from) => {
      const board = createOrderedBoard(keys);
      const view = board.view.numbers;
      const draft = createOrderedDraft({view, compare: compareValues});
      steps.forEach((step, index) => {
        if (step.kind === 'put') {
          draft.put(step.key, index + 1);
        } else {
          draft.delete(step.key);
        }
      });
      const expected = listExpected(keys, steps, 0);
      t.strictSame([...draft.iterateFrom()], expected);
      t.strictSame(
        [...draft.iterateFrom(from)],
        listExpected(keys, steps, from),
      );
      t.equal(draft.size, expected.length);
      draft.listWrites('numbers' as const).forEach(write => {
        board.commit(write);
      });
      t.strictSame([...view.iterateFrom()], expected);
    }),
    {seed: SEED, numRuns: RUNS},
  );
});
