import {createDeployment} from '@gentianshunt/deployment';

import {createSummaries, formatSummaries, runLoad} from '@gentianshunt/load';

import {DEMO_COMMANDS} from './configuration.js';
import {createDemoPlan, DEMO_TIERS} from './demoPlan.js';
import {printWastedPrefill} from './engineCounts.js';
import {awaitEndpoints, printLiveRequests, sendCommands} from './operator.js';

const CONTROLS = 3;
const ENTRIES = 4;
const ENGINES = 3;
const SERVICES = 2;

/** Starts a deployment, runs a load on it and prints the results. */
async function runDemo(): Promise<void> {
  const deployment = await createDeployment({
    controls: CONTROLS,
    entries: ENTRIES,
  });
  try {
    const urls = deployment.entries.map(entry => entry.url);
    const access = {entries: urls, key: null, operator: 'demo'};
    await sendCommands(access, DEMO_COMMANDS);
    const engines = await Promise.all(
      Array.from({length: ENGINES}, (_, index) =>
        deployment.startEngine({
          endpoint: `engine-${index}`,
          set: 'drafts',
          extra: ['--batch', '8', '--step-ms', String(3 + index * 2)],
        }),
      ),
    );
    await Promise.all(
      Array.from({length: SERVICES}, (_, index) =>
        deployment.startService({
          endpoint: `registry-${index}`,
          set: 'registry',
        }),
      ),
    );
    await awaitEndpoints(access);
    const results = await runLoad({entries: urls, plan: createDemoPlan()});
    console.log(formatSummaries(createSummaries(DEMO_TIERS, results)));
    await printWastedPrefill(engines.map(engine => engine.url));
    await printLiveRequests(access);
  } finally {
    await deployment.stop();
  }
}

await runDemo();
