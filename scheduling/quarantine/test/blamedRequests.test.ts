import {toFingerprint} from '@gentianshunt/entryModel';
import type {
  AnswerProgress,
  CrashedRun,
  EndpointCrash,
  SoundRuns,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {addReportedRuns, decideRequests} from '../src/index.js';
import type {SuspectQuery} from '../src/index.js';

const CRASH_INTERVAL_MS = 1_000;

function createRun(
  name: string,
  progress: AnswerProgress = 'awaitingHead',
): CrashedRun {
  const fingerprint = toFingerprint(toIdentifier(`request.${name}`));
  return {
    reporter: toIdentifier(`entry-of-${name}`),
    progress,
    suspects: [{fingerprint, lasting: 0, recent: 0}],
  };
}

/** Crashes of one endpoint each, a second apart, with the runs of each. */
function createCrashes(
  runs: readonly (readonly CrashedRun[])[],
): readonly EndpointCrash[] {
  return runs.map((ended, index) => ({
    set: toIdentifier('s'),
    endpoint: toIdentifier(`e${index}`),
    at: index * CRASH_INTERVAL_MS,
    runs: ended,
  }));
}

function listBlamed(
  crashes: readonly EndpointCrash[],
  changed: Partial<SuspectQuery> = {},
): readonly string[] {
  return decideRequests({
    crashes,
    countSoundRuns: () => ({lasting: 0, recent: 0}),
    isQuarantined: () => false,
    now: crashes.length * CRASH_INTERVAL_MS,
    ...changed,
  }).map(({fingerprint}) => fingerprint.id);
}

const deadly = createRun('deadly');
const neighbour = createRun('neighbour');
const other = createRun('other');

t.test('a request that ran beside a deadly one is not blamed', async t => {
  const beside = [deadly, neighbour];
  t.same(listBlamed(createCrashes([beside, beside])), [], 'none stands out');
  t.same(
    listBlamed(createCrashes([[deadly], beside, beside, beside])),
    ['request.deadly'],
    'one was alone once',
  );
  t.same(
    listBlamed(createCrashes([beside, beside, beside, [deadly, other]])),
    ['request.deadly'],
    'one was in more crashes',
  );
});

t.test('crashes that a held request explains blame no other', async t => {
  const crashes = createCrashes(
    Array.from({length: 4}, () => [deadly, neighbour]),
  );
  const isQuarantined = (id: string): boolean => id === 'request.deadly';
  t.same(listBlamed(crashes, {isQuarantined}), []);
});

t.test('two deadly requests are told from each other', async t => {
  const crashes = createCrashes([[deadly], [other], [deadly], [other]]);
  t.same(listBlamed(crashes), ['request.deadly', 'request.other']);
});

t.test('a crash does not count before its runs are reported', async t => {
  const crashes = createCrashes([[deadly, neighbour], [deadly]]);
  t.same(listBlamed(crashes, {now: CRASH_INTERVAL_MS + 1}), []);
  t.same(listBlamed(crashes), ['request.deadly']);
});

t.test('a run that had delivered is not suspected', async t => {
  const begun = createRun('begun', 'delivering');
  t.same(listBlamed(createCrashes([[begun], [begun], [begun]])), []);
});

// Guards against a failure domain that ends and takes a frequent request along.
t.test('endpoints that fail together count as one crash', async t => {
  const together = createCrashes(Array.from({length: 8}, () => [deadly])).map(
    (crash, index) => ({...crash, at: index}),
  );
  t.same(listBlamed(together), []);
  const later = createCrashes([[], [deadly]]).slice(1);
  t.same(listBlamed([...together, ...later]), ['request.deadly']);
});

t.test('a frequent request is not held while a whole set fails', async t => {
  const crashes = createCrashes(
    Array.from({length: 8}, (_, index) => [
      createRun('frequent'),
      createRun(`other-${index}`),
    ]),
  );
  const countSoundRuns = (): SoundRuns => ({lasting: 30, recent: 1});
  t.same(listBlamed(crashes, {countSoundRuns}), []);
  const alone = createCrashes([[createRun('frequent')]]);
  t.same(
    listBlamed([...alone, ...crashes.slice(1)], {countSoundRuns}),
    ['request.frequent'],
    'one that was alone has turned',
  );
});

t.test('a deadly request among 200 runs of an endpoint is held', async t => {
  const runs = Array.from({length: 200}, (_, index) => index);
  const crashes = Array.from({length: 6}, (_, crash) => crash).reduce<
    readonly EndpointCrash[]
  >(
    (known, crash) =>
      addReportedRuns(
        known,
        {
          reporter: toIdentifier('entry-0'),
          set: toIdentifier('s'),
          runs: runs.map(run => ({
            endpoint: toIdentifier(`e${crash}`),
            ageMs: 0,
            progress: 'awaitingHead',
            suspects: createRun(run === 150 ? 'deadly' : `${crash}-${run}`)
              .suspects,
          })),
        },
        crash * CRASH_INTERVAL_MS,
      ),
    [],
  );
  t.same(listBlamed(crashes), ['request.deadly']);
});
