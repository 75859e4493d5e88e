import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import t from 'tap';

import {isLeaderSilent, listLocalPlaces} from '../src/index.js';
import type {ShareSections} from '../src/index.js';

const SET = toIdentifier<EndpointSetId>('drafts');

interface BoardOptions {
  readonly entries: number;
  /** Places of each endpoint. */
  readonly concurrency: readonly number[];
  /** Requests that this entry runs at each endpoint. */
  readonly running?: readonly number[];
  readonly exchange?: Partial<{
    inFlight: boolean;
    failures: number;
    urgency: string;
    sentAt: number;
  }>;
}

function createBoard(options: BoardOptions): ShareSections {
  const {entries, concurrency, running = [], exchange} = options;
  const endpoints = concurrency.map((places, index) => ({
    target: {
      endpoint: toIdentifier<never>(`e${index}`),
      url: `http://${index}`,
    },
    concurrency: places,
  }));
  const counts = running.map((count, index) => ({
    key: {set: SET, endpoint: `e${index}`, organisation: 'lab'},
    value: {count},
  }));
  const state = {
    inFlight: false,
    failures: 0,
    urgency: 'none',
    sentAt: 0,
    ...exchange,
  };
  return {
    control: {directory: {entries: Array.from({length: entries})}},
    knownEndpoints: new Map([[SET, {endpoints}]]),
    exchanges: new Map(exchange === undefined ? [] : [[SET, state]]),
    running: {iterateFrom: () => counts.values()},
  } as never;
}

const shares: readonly {
  readonly name: string;
  readonly options: BoardOptions;
  readonly places: readonly string[];
}[] = [
  {
    name: 'an equal part, rounded up',
    options: {entries: 4, concurrency: [3, 3]},
    places: ['e0', 'e1'],
  },
  {
    name: 'less what runs already',
    options: {entries: 2, concurrency: [4, 4], running: [2, 0]},
    places: ['e1', 'e1'],
  },
  {
    name: 'nothing when the part is used up',
    options: {entries: 2, concurrency: [2, 2], running: [2, 0]},
    places: [],
  },
  {
    name: 'no more than the endpoints hold',
    options: {entries: 1, concurrency: [1, 2]},
    places: ['e0', 'e1', 'e1'],
  },
  {
    name: 'nothing where no endpoint is known',
    options: {entries: 3, concurrency: []},
    places: [],
  },
];

for (const {name, options, places} of shares) {
  t.test(`places without a leader: ${name}`, async t => {
    const listed = listLocalPlaces(createBoard(options), SET);
    t.same(
      listed.map(({target}) => target.endpoint),
      places,
    );
  });
}

const silences: readonly {
  readonly name: string;
  readonly exchange: BoardOptions['exchange'];
  readonly atMs: number;
  readonly isSilent: boolean;
}[] = [
  {name: 'no exchange', exchange: undefined, atMs: 900, isSilent: false},
  {name: 'nothing awaited', exchange: {}, atMs: 900, isSilent: false},
  {
    name: 'awaited for little',
    exchange: {inFlight: true},
    atMs: 100,
    isSilent: false,
  },
  {
    name: 'awaited for long',
    exchange: {inFlight: true},
    atMs: 300,
    isSilent: true,
  },
  {
    name: 'no leader to report to',
    exchange: {urgency: 'urgent'},
    atMs: 300,
    isSilent: true,
  },
];

for (const {name, exchange, atMs, isSilent} of silences) {
  t.test(`a silent leader: ${name}`, async t => {
    const board = createBoard({
      entries: 2,
      concurrency: [4],
      ...(exchange === undefined ? {} : {exchange}),
    });
    const now = {monotonic: atMs, wall: new Date(0)};
    t.equal(isLeaderSilent(board, SET, now), isSilent);
  });
}
