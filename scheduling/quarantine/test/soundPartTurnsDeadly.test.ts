import type {AnswerProgress, EndpointCrash} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, PromptPartId} from '@gentianshunt/identifiers';
import t from 'tap';

import {decideSuspects} from '../src/index.js';

const DEADLY = toIdentifier<PromptPartId>('a7ba');
const BYSTANDER = toIdentifier<PromptPartId>('38b0');
/** Sound answers that the part had before it crashed an endpoint. */
const SOUND_BEFORE = {lasting: 1, recent: 2};

function createRun(
  reporter: string,
  progress: AnswerProgress,
  part: PromptPartId,
) {
  return {
    reporter: toIdentifier<NodeId>(reporter),
    progress,
    parts: [{part, lasting: 1, recent: 1}],
  };
}

/** Crashes of one endpoint each, seen by two entries. */
function createCrashes(count: number): readonly EndpointCrash[] {
  return Array.from({length: count}, (_, index) => ({
    endpoint: toIdentifier(`e${index}`),
    at: index,
    runs: [
      createRun(`n${index}`, 'awaitingFirstEvent', DEADLY),
      createRun(`n${index + 1}`, 'delivering', BYSTANDER),
    ],
  }));
}

function listHeld(crashes: number): readonly PromptPartId[] {
  return decideSuspects(
    new Set([DEADLY, BYSTANDER]),
    createCrashes(crashes),
    () => SOUND_BEFORE,
  ).map(({part}) => part);
}

// Guards against a part that stays in use as it was sound before it crashed.
t.test('a part that was sound before is held at its third crash', async t => {
  t.same(listHeld(2), []);
  t.same(listHeld(3), [DEADLY]);
});
