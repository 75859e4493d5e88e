import {setTimeout as delay} from 'node:timers/promises';

import {awaitEndpoints, DEMO_COMMANDS, sendCommands} from '@gentianshunt/demo';
import {createDeployment} from '@gentianshunt/deployment';
import type {DeployedEndpoint, Deployment} from '@gentianshunt/deployment';

/** A deployment that is ready to serve calls. */
export interface ServingDeployment {
  readonly deployment: Deployment;
  readonly engines: readonly DeployedEndpoint[];
  readonly service: DeployedEndpoint;
  /** Base URLs of the entries. */
  readonly urls: readonly string[];
}

const ENTRY_COUNT = 3;
const ENGINE_COUNT = 2;
const POLL_INTERVAL_MS = 20;

/** Starts daemons and endpoints and waits until they serve calls. */
export async function startDeployment(): Promise<ServingDeployment> {
  const deployment = await createDeployment({
    controls: 3,
    entries: ENTRY_COUNT,
  });
  const urls = deployment.entries.map(entry => entry.url);
  const access = {entries: urls, key: null, operator: 'test'};
  await sendCommands(access, DEMO_COMMANDS);
  const engines = await Promise.all(
    Array.from({length: ENGINE_COUNT}, (_, index) =>
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
  await awaitEndpoints(access);
  return {deployment, engines, service, urls};
}

/** Polls a condition; returns whether it held within the timeout. */
export async function waitUntil(
  timeoutMs: number,
  isMet: () => Promise<boolean> | boolean,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await isMet()) {
      return true;
    }
    await delay(POLL_INTERVAL_MS);
  }
  return false;
}
