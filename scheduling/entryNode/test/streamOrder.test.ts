import t from 'tap';

import {
  createStreams,
  createWarmUp,
  listJoined,
  runPlan,
  STEADY_MS,
} from './streamPlan.js';
import {createStreamVersionsFixture} from './streamVersionsFixture.js';

// Guards against a stream without a record taken for one of the version that was
// there before: its entry lost power before its report left.
t.test('an entry that dies at the first events of a new version', async t => {
  const entries = 7;
  const takeUps = runPlan({
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
  const takeUps = runPlan({
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
  const takeUps = runPlan({
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
