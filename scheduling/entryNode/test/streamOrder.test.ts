import fc from 'fast-check';
import t from 'tap';

import {listJoined, playPlan} from './streamPlan.js';
import type {
  Disturbance,
  PlannedStream,
  StreamPlan,
  VersionPhase,
} from './streamPlan.js';
import {createStreamVersionsFixture} from './streamVersionsFixture.js';

/** Long enough for all entries to know that there was one version only. */
const STEADY_MS = 16_000;
const SEED = Number(process.env.STREAM_SEED ?? 58);
const RUNS = Number(process.env.STREAM_RUNS ?? 25);

function createStreams(
  count: number,
  create: (index: number) => PlannedStream,
): readonly PlannedStream[] {
  return Array.from({length: count}, (_, index) => create(index));
}

function run(plan: Omit<StreamPlan, 'endMs'>) {
  const last = Math.max(...plan.streams.map(({takenUpAt}) => takenUpAt));
  return playPlan({...plan, endMs: last + 4_000});
}

/** Some traffic at all entries, so that they know the endpoints of the set. */
function createWarmUp(entries: number): readonly PlannedStream[] {
  return createStreams(2 * entries, index => ({
    at: 1_000 + 40 * index,
    entry: index % entries,
    takenUpAt: 3_000 + 40 * index,
    takenUpBy: (index + 1) % entries,
  }));
}

// Guards against a stream without a record taken for one of the version that was
// there before: its entry lost power before its report left.
t.test('an entry that dies at the first events of a new version', async t => {
  const entries = 7;
  const takeUps = run({
    entries,
    versions: [
      {at: 0, versions: ['v1']},
      {at: STEADY_MS, versions: ['v1', 'v2']},
    ],
    disturbances: [
      {kind: 'kill', at: STEADY_MS + 3_150, entry: 6, forMs: 9_000},
    ],
    streams: [
      ...createWarmUp(entries),
      ...createStreams(24, index => ({
        at: STEADY_MS + 3_000 + 2 * index,
        entry: 6,
        takenUpAt: STEADY_MS + 5_000 + 20 * index,
        takenUpBy: index % 6,
      })),
    ],
  });
  t.equal(takeUps.filter(({stream}) => stream.entry === 6).length > 0, true);
  t.same(listJoined(takeUps), []);
});

// Guards against entries that know only one version of two, since they restarted
// one after the other while the other served.
t.test('a version that serves and leaves during a rolling restart', async t => {
  const entries = 5;
  const at = STEADY_MS;
  const takeUps = run({
    entries,
    versions: [
      {at: 0, versions: ['v1']},
      {at: at + 1_000, versions: ['v1', 'v2']},
      {at: at + 14_000, versions: ['v1']},
      {at: at + 22_000, versions: ['v1', 'v2']},
    ],
    disturbances: [0, 1, 2, 3, 4].map(entry => ({
      kind: 'stop',
      at: at + 4_000 + 4_000 * entry,
      entry,
      forMs: 2_000,
    })),
    streams: [
      ...createWarmUp(entries),
      ...createStreams(48, index => ({
        at: at + 2_500 + 400 * index,
        entry: index % entries,
        takenUpAt: at + 2_500 + 400 * index + 1_500 + 130 * index,
        takenUpBy: (index + 2) % entries,
      })),
    ],
  });
  t.same(listJoined(takeUps), []);
});

// Guards against entries that have started again and take what they were told in
// vain for nothing: the serving entry is away, and those that kept its records.
t.test('the entries that kept the records restart as well', async t => {
  const entries = 5;
  const at = STEADY_MS;
  const takeUps = run({
    entries,
    versions: [
      {at: 0, versions: ['v1']},
      {at, versions: ['v1', 'v2']},
    ],
    disturbances: [
      {kind: 'kill', at: at + 3_500, entry: 4, forMs: 9_000},
      ...[0, 1, 2, 3].map(entry => ({
        kind: 'kill' as const,
        at: at + 3_600 + 800 * entry,
        entry,
        forMs: 500,
      })),
    ],
    streams: [
      ...createWarmUp(entries),
      ...createStreams(24, index => ({
        at: at + 3_000 + 2 * index,
        entry: 4,
        takenUpAt: at + 8_500 + 20 * index,
        takenUpBy: index % 4,
      })),
    ],
  });
  t.ok(
    takeUps.some(({began}) => began === 'v2'),
    'the new version serves',
  );
  t.same(listJoined(takeUps), []);
});

// Guards against an answer that passes since the one before it broke while it was held.
t.test('an answer that broke while it was held stays held', async t => {
  const fixture = createStreamVersionsFixture(5);
  fixture.setEndpoints([{id: 'old-0', software: 'v1'}]);
  fixture.advance(1_000);
  fixture.send(4, 'w');
  fixture.advance(STEADY_MS);
  fixture.setEndpoints([
    {id: 'new-0', software: 'v2'},
    {id: 'new-1', software: 'v2'},
  ]);
  fixture.advance(8_000);
  fixture.loseMessages(4, 2_000);
  fixture.send(4, 'q');
  fixture.advance(500);
  fixture.startAnswer('q');
  fixture.breakAnswer('q');
  fixture.advance(500);
  fixture.startAnswer('q');
  fixture.advance(100);
  t.same(fixture.listSoftware('q'), ['v2', 'v2']);
  t.notOk(fixture.hasBegun('q'));
  fixture.advance(1_500);
  t.ok(fixture.hasBegun('q'), 'once it is kept');
});

/** A disturbance and the streams that begin at its entry shortly before. */
interface DrawnDisturbance {
  readonly disturbance: Disturbance;
  readonly streams: readonly PlannedStream[];
}

/** Draws disturbances of one entry at a time, which do not overlap. */
function drawDisturbances(
  entries: number,
): fc.Arbitrary<readonly DrawnDisturbance[]> {
  const draw = fc.record({
    kind: fc.constantFrom('kill', 'stop', 'freeze', 'cut'),
    entry: fc.nat({max: entries - 1}),
    forMs: fc.integer({min: 300, max: 6_000}),
    gapMs: fc.integer({min: 500, max: 5_000}),
    burst: fc.nat({max: 12}),
    leadMs: fc.integer({min: 50, max: 400}),
  });
  return fc.array(draw, {minLength: 1, maxLength: 9}).map(drawn => {
    let at = STEADY_MS - 6_000;
    return drawn.map(({kind, entry, forMs, gapMs, burst, leadMs}) => {
      const disturbance = {kind, at, entry, forMs} as const;
      const streams = createStreams(burst, index => ({
        at: disturbance.at - leadMs,
        entry,
        takenUpAt: disturbance.at + 300 + 250 * index,
        takenUpBy: (entry + 1 + (index % (entries - 1))) % entries,
      }));
      at += forMs + gapMs;
      return {disturbance, streams};
    });
  });
}

const versionSets = [['v1'], ['v1', 'v2'], ['v2'], ['v1', 'v2', 'v3']];

function drawVersions(): fc.Arbitrary<readonly VersionPhase[]> {
  const draw = fc.record({
    versions: fc.constantFrom(...versionSets),
    forMs: fc.integer({min: 500, max: 12_000}),
  });
  return fc.array(draw, {minLength: 1, maxLength: 6}).map(drawn => {
    let at = STEADY_MS - 6_000;
    return [
      {at: 0, versions: ['v1']},
      ...drawn.map(({versions, forMs}) => {
        const phase = {at, versions};
        at += forMs;
        return phase;
      }),
    ];
  });
}

function drawStreams(entries: number): fc.Arbitrary<readonly PlannedStream[]> {
  const draw = fc.record({
    at: fc.integer({min: STEADY_MS - 8_000, max: STEADY_MS + 24_000}),
    entry: fc.nat({max: entries - 1}),
    laterMs: fc.integer({min: 200, max: 8_000}),
    step: fc.integer({min: 1, max: entries - 1}),
  });
  return fc.array(draw, {minLength: 20, maxLength: 60}).map(drawn =>
    drawn.map(({at, entry, laterMs, step}) => ({
      at,
      entry,
      takenUpAt: at + 100 + laterMs,
      takenUpBy: (entry + step) % entries,
    })),
  );
}

function drawPlan(): fc.Arbitrary<Omit<StreamPlan, 'endMs'>> {
  return fc.integer({min: 3, max: 12}).chain(entries =>
    fc
      .tuple(drawVersions(), drawDisturbances(entries), drawStreams(entries))
      .map(([versions, drawn, streams]) => ({
        entries,
        versions,
        disturbances: drawn.map(({disturbance}) => disturbance),
        streams: [
          ...createWarmUp(entries),
          ...drawn.flatMap(each => each.streams),
          ...streams,
        ],
      })),
  );
}

// Guards against joined streams whatever happens to one entry at a time.
t.test('no stream is joined in any order of events', async t => {
  fc.assert(
    fc.property(drawPlan(), plan => listJoined(run(plan)).length === 0),
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
  t.pass(`${RUNS} plans of seed ${SEED}`);
});
