import {createManualClock} from '@gentianshunt/clock';
import t from 'tap';

import {
  createControlLoop,
  defineCell,
  defineController,
  defineMap,
  defineOrdered,
  DuplicateWriterError,
  SectionOwnershipError,
  UnsettledTurnError,
} from '../src/index.js';
import type {AnyController, Write} from '../src/index.js';

type Observation =
  | {readonly kind: 'added'; readonly name: string; readonly amount: number}
  | {readonly kind: 'cleared'};

interface Announce {
  readonly kind: 'announce';
  readonly total: number;
}

function createSections() {
  return {
    amounts: defineMap<string, number>(),
    ranking: defineOrdered<number, string>((left, right) => left - right),
    total: defineCell(0),
  };
}
type TestSections = ReturnType<typeof createSections>;
type TestController = AnyController<TestSections, Observation, Announce>;

function createAmountsController(): TestController {
  return defineController<
    TestSections,
    Observation,
    Announce,
    'amounts',
    'amounts' | 'ranking'
  >({
    name: 'amounts',
    reads: ['amounts'],
    writes: ['amounts', 'ranking'],
    observes: ['added', 'cleared'],
    run: ({observation, board}) => {
      switch (observation?.kind) {
        case 'added':
          return [
            {
              kind: 'put',
              section: 'amounts',
              key: observation.name,
              value: observation.amount,
            },
            {
              kind: 'put',
              section: 'ranking',
              key: observation.amount,
              value: observation.name,
            },
          ];
        case 'cleared':
          return [...board.amounts.keys()].map(
            key => ({kind: 'delete', section: 'amounts', key}) as const,
          );
        case undefined:
          return [];
      }
    },
  });
}

function createTotalController(): TestController {
  return defineController<
    TestSections,
    Observation,
    Announce,
    'amounts',
    'total'
  >({
    name: 'total',
    reads: ['amounts'],
    writes: ['total'],
    observes: [],
    run: ({board}) => {
      const total = [...board.amounts.values()].reduce((a, b) => a + b, 0);
      return [
        {kind: 'set', section: 'total', value: total},
        {kind: 'effect', effect: {kind: 'announce', total}},
      ];
    },
  });
}

function createLoop(
  controllers: readonly TestController[],
  performed: Announce[] = [],
) {
  return createControlLoop({
    sections: createSections(),
    controllers,
    clock: createManualClock(),
    perform: (effect: Announce) => performed.push(effect),
  });
}

t.test('an observation runs the controllers whose inputs changed', async t => {
  const performed: Announce[] = [];
  const loop = createLoop(
    [createTotalController(), createAmountsController()],
    performed,
  );
  loop.post({kind: 'added', name: 'a', amount: 2});
  loop.post({kind: 'added', name: 'b', amount: 1});
  t.equal(loop.view.total, 3);
  t.same(
    performed.map(effect => effect.total),
    [2, 3],
  );
  t.same(loop.view.ranking.readFirst(), {key: 1, value: 'b'});
});

t.test('the same observations give the same board', async t => {
  const observations: readonly Observation[] = [
    {kind: 'added', name: 'a', amount: 2},
    {kind: 'cleared'},
    {kind: 'added', name: 'c', amount: 5},
  ];
  const boards = [1, 2].map(() => {
    const loop = createLoop([
      createAmountsController(),
      createTotalController(),
    ]);
    observations.forEach(observation => loop.post(observation));
    return [[...loop.view.amounts], loop.view.total];
  });
  t.same(boards[0], boards[1]);
});

t.test('a write to a section of another controller is refused', async t => {
  const intruder: TestController = {
    ...createTotalController(),
    observes: ['cleared'],
    run: () =>
      [{kind: 'put', section: 'amounts', key: 'x', value: 1}] as readonly Write<
        TestSections,
        keyof TestSections,
        Announce
      >[],
  };
  const loop = createLoop([intruder]);
  t.throws(() => loop.post({kind: 'cleared'}), SectionOwnershipError);
});

t.test('a section has one writer', async t => {
  t.throws(
    () =>
      createLoop([
        createTotalController(),
        {...createTotalController(), name: 'second'},
      ]),
    DuplicateWriterError,
  );
});

t.test('controllers that keep changing the board are reported', async t => {
  const ping: TestController = {
    ...createTotalController(),
    name: 'ping',
    reads: ['amounts'],
    observes: ['cleared'],
    run: () => [{kind: 'set', section: 'total', value: 1}],
  };
  const pong: TestController = {
    ...createAmountsController(),
    name: 'pong',
    reads: ['total'],
    run: () => [{kind: 'put', section: 'amounts', key: 'x', value: 1}],
  };
  const loop = createLoop([ping, pong]);
  t.throws(() => loop.post({kind: 'cleared'}), UnsettledTurnError);
});
