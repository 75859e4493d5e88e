import {createDeployment} from '@gentianshunt/deployment';

import {createObjects} from './objects.js';
import {createSummaries, formatSummaries, runLoad} from '@gentianshunt/load';

import {createDemoPlan, DEMO_TIERS} from './demoPlan.js';
import {printWastedPrefill} from './engineCounts.js';
import {awaitService, printLiveRequests, sendCommand} from './operator.js';

const CONTROLS = 3;
const ENTRIES = 4;
const ENGINES = 3;
const SERVICES = 2;

/** Starts a deployment, runs the load over it and prints what came of it. */
async function runDemo(): Promise<void> {
  const deployment = await createDeployment({
    controls: CONTROLS,
    entries: ENTRIES,
  });
  try {
    const urls = deployment.entries.map(entry => entry.url);
    await sendCommand(urls[0]!, 1, createObjects());
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
    await awaitService(urls);
    const results = await runLoad({entries: urls, plan: createDemoPlan()});
    console.log(formatSummaries(createSummaries(DEMO_TIERS, results)));
    await printWastedPrefill(engines.map(engine => engine.url));
    await printLiveRequests(urls);
  } finally {
    await deployment.stop();
  }
}

await runDemo();
