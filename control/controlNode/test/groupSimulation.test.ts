import t from 'tap';

import {runScenario} from './scenarioRunFixture.js';

// GROUP_SEED runs one seed only, to replay a failure; GROUP_SEEDS is the number
// of seeds of a longer run.
const {GROUP_SEED, GROUP_SEEDS = '300'} = process.env;
const FIRST_SEED = 1;

function listSeeds(): readonly number[] {
  return GROUP_SEED === undefined
    ? Array.from(
        {length: Number(GROUP_SEEDS)},
        (_, index) => FIRST_SEED + index,
      )
    : [Number(GROUP_SEED)];
}

t.test('a group survives replacements, lost disks and a final fault', t => {
  const failures = listSeeds().flatMap(seed => {
    try {
      runScenario(seed);
      return [];
    } catch (error) {
      return [`GROUP_SEED=${seed}: ${String(error)}`];
    }
  });
  t.same(failures, []);
  t.end();
});
