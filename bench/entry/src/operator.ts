import {setTimeout as delay} from 'node:timers/promises';

import type {ConfigurationObject} from '@gentianshunt/configuration';
import {request} from 'undici';

const RETRY_MS = 100;
const MAX_TRIES = 100;

/** Creates objects in a deployment and waits until they are in force. */
export async function createObjects(
  entry: string,
  objects: readonly ConfigurationObject[],
): Promise<void> {
  const commands = objects.map(object => ({
    kind: 'put',
    object,
    expectedRevision: 0,
  }));
  const body = JSON.stringify({number: 1, operator: 'bench', commands});
  await retry(async () => {
    const reply = await request(`${entry}/v1/operator/commands`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body,
    });
    const progress = (await reply.body.json()) as {readonly kind: string};
    return progress.kind === 'inForce';
  });
}

/** Waits until an entry lists an endpoint. */
export async function awaitEndpoint(entry: string): Promise<void> {
  await retry(async () => {
    const reply = await request(`${entry}/v1/operator/endpoints`);
    const endpoints = (await reply.body.json()) as readonly unknown[];
    return endpoints.length > 0;
  });
}

async function retry(attempt: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    if (await attempt()) {
      return;
    }
    await delay(RETRY_MS);
  }
  throw new Error('the deployment did not become ready');
}
