import {setTimeout as delay} from 'node:timers/promises';

import {awaitService, DEMO_COMMANDS, sendCommands} from '@gentianshunt/demo';
import {createDeployment} from '@gentianshunt/deployment';
import type {DeployedEndpoint, Deployment} from '@gentianshunt/deployment';

/** A deployment that serves. */
export interface ServingDeployment {
  readonly deployment: Deployment;
  readonly engines: readonly DeployedEndpoint[];
  readonly service: DeployedEndpoint;
  readonly urls: readonly string[];
}

const ENTRIES = 3;
const ENGINES = 2;
const POLL_MS = 20;

/** Starts daemons and endpoints and waits until they serve. */
export async function startDeployment(): Promise<ServingDeployment> {
  const deployment = await createDeployment({controls: 3, entries: ENTRIES});
  const urls = deployment.entries.map(entry => entry.url);
  const access = {entries: urls, key: null, operator: 'test'};
  await sendCommands(access, DEMO_COMMANDS);
  const engines = await Promise.all(
    Array.from({length: ENGINES}, (_, index) =>
      deployment.startEngine({
        endpoint: `engine-${index}`,
        set: 'drafts',
        extra: ['--batch', '32', '--step-ms', '10'],
      }),
    ),
  );
  const service = await deployment.startService({
    endpoint: 'registry-0',
    set: 'registry',
    extra: ['--work-ms', '300'],
  });
  await awaitService(access);
  return {deployment, engines, service, urls};
}

/** Asks again and again until a condition holds or the time is up. */
export async function waitUntil(
  limitMs: number,
  isMet: () => Promise<boolean> | boolean,
): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await isMet()) {
      return true;
    }
    await delay(POLL_MS);
  }
  return false;
}
