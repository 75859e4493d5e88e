import t from 'tap';

import {
  createStreams,
  createWarmUp,
  listJoined,
  listLost,
  runPlan,
  STEADY_MS,
} from './streamPlan.js';
import type {Disturbance, PlannedStream} from './streamPlan.js';

const STREAMS = 16;
/** Time between two streams of the usual traffic. */
const TRAFFIC_MS = 800;

/** Some traffic at all entries, so that they know the endpoints of the set. */
function createTraffic(
  entries: number,
  endMs: number,
): readonly PlannedStream[] {
  return createStreams(Math.floor(endMs / TRAFFIC_MS), index => ({
    at: 1_000 + TRAFFIC_MS * index,
    entry: index % entries,
    takenUpAt: 1_700 + TRAFFIC_MS * index,
    takenUpBy: (index + 1) % entries,
  }));
}

/** Streams that begin at the last entry and are taken up at the others. */
function createLastStreams(
  entries: number,
  at: number,
): readonly PlannedStream[] {
  return createStreams(STREAMS, index => ({
    at: at + 20 * index,
    entry: entries - 1,
    takenUpAt: at + 4_000 + 20 * index,
    takenUpBy: index % (entries - 1),
  }));
}

function play(
  entries: number,
  disturbances: readonly Disturbance[],
  at: number,
  secondAt?: number,
) {
  const last = createLastStreams(entries, at);
  const takeUps = runPlan({
    entries,
    versions: [
      {at: 0, versions: ['v1']},
      ...(secondAt === undefined
        ? []
        : [{at: secondAt, versions: ['v1', 'v2']}]),
    ],
    disturbances,
    streams: [...createTraffic(entries, at), ...last],
  });
  return {
    joined: listJoined(takeUps),
    taken: takeUps.filter(({stream}) => last.includes(stream)),
    lost: listLost(takeUps).filter(({stream}) => last.includes(stream)),
  };
}

/** Stops entries one after the other, each once the one before is back. */
function createRestarts(
  entries: readonly number[],
  at: number,
): readonly Disturbance[] {
  return entries.map((entry, index) => ({
    kind: 'stop',
    at: at + 1_200 * index,
    entry,
    forMs: 600,
  }));
}

// Guards against review/7: the entries that were restarted before knew nothing of the
// streams of the last one, and refused all of them.
for (const kind of ['stop', 'kill'] as const) {
  t.test(
    `streams go on after a rolling restart, the last by ${kind}`,
    async t => {
      const at = STEADY_MS + 4_000;
      const {joined, taken, lost} = play(
        4,
        [
          ...createRestarts([0, 1, 2], STEADY_MS),
          {kind, at: at + 1_500, entry: 3, forMs: 3_000},
        ],
        at,
      );
      t.equal(taken.length, STREAMS);
      t.same(lost, []);
      t.same(joined, []);
    },
  );
}

// Guards against entries that know nothing of a set before they serve it.
t.test('entries without requests since their restart know as well', async t => {
  const at = STEADY_MS + 4_000;
  const streams = createLastStreams(4, at);
  const takeUps = runPlan({
    entries: 4,
    versions: [{at: 0, versions: ['v1']}],
    disturbances: [
      ...createRestarts([0, 1, 2], STEADY_MS),
      {kind: 'kill', at: at + 1_500, entry: 3, forMs: 3_000},
    ],
    streams: [...createWarmUp(4), ...streams],
  });
  const last = takeUps.filter(({stream}) => streams.includes(stream));
  t.equal(last.length, STREAMS);
  t.same(listLost(last), []);
  t.same(listJoined(last), []);
});

// Guards against review/8: a version that registered while the serving entry had no
// power made the others refuse all streams that had begun before.
for (const entries of [3, 7, 12]) {
  t.test(
    `${entries} entries, and a version registers after a loss`,
    async t => {
      const at = STEADY_MS;
      const {joined, taken, lost} = play(
        entries,
        [{kind: 'kill', at: at + 1_500, entry: entries - 1, forMs: 3_500}],
        at,
        at + 2_200,
      );
      t.equal(taken.length, STREAMS);
      t.same(lost, []);
      t.same(joined, []);
    },
  );
}

// Guards against records that are lost with the entries that kept them.
t.test(
  'streams go on after a restart of all while a version joins',
  async t => {
    const at = STEADY_MS;
    const entries = 7;
    const streams = createStreams(48, index => ({
      at: at + 200 * index,
      entry: index % entries,
      takenUpAt: at + 200 * index + 2_000 + 90 * index,
      takenUpBy: (index + 3) % entries,
    }));
    const takeUps = runPlan({
      entries,
      versions: [
        {at: 0, versions: ['v1']},
        {at: at + 500, versions: ['v1', 'v2']},
      ],
      disturbances: createRestarts([0, 1, 2, 3, 4, 5, 6], at),
      streams: [...createTraffic(entries, at), ...streams],
    });
    t.same(listJoined(takeUps), []);
    t.same(listLost(takeUps), []);
    t.equal(new Set(takeUps.map(({began}) => began)).size, 2, 'both serve');
  },
);
