import {toFingerprint} from '@gentianshunt/entryModel';
import type {
  AnswerProgress,
  EndpointCrash,
  Fingerprint,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {decideParts} from '../src/index.js';

const DEADLY = toFingerprint(toIdentifier('a7ba'));
const BYSTANDER = toFingerprint(toIdentifier('38b0'));
/** Sound answers that the part had before it crashed an endpoint. */
const SOUND_BEFORE = {lasting: 1, recent: 2};

function createRun(
  reporter: string,
  progress: AnswerProgress,
  fingerprint: Fingerprint,
) {
  return {
    reporter: toIdentifier<NodeId>(reporter),
    progress,
    suspects: [{fingerprint, lasting: 1, recent: 1}],
  };
}

/** Crashes of one endpoint each, seen by two entries. */
function createCrashes(count: number): readonly EndpointCrash[] {
  return Array.from({length: count}, (_, index) => ({
    set: toIdentifier('s'),
    endpoint: toIdentifier(`e${index}`),
    at: index,
    runs: [
      createRun(`n${index}`, 'awaitingFirstEvent', DEADLY),
      createRun(`n${index + 1}`, 'delivering', BYSTANDER),
    ],
  }));
}

function listHeld(crashes: number): readonly Fingerprint[] {
  return decideParts([DEADLY, BYSTANDER], {
    crashes: createCrashes(crashes),
    countSoundRuns: () => SOUND_BEFORE,
    isQuarantined: () => false,
    now: crashes,
  }).map(({fingerprint}) => fingerprint);
}

// Guards against a part that stays in use as it was sound before it crashed.
t.test('a part that was sound before is held at its third crash', async t => {
  t.same(listHeld(2), []);
  t.same(listHeld(3), [DEADLY]);
});
