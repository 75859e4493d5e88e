import {setTimeout as delay} from 'node:timers/promises';

import type {ObjectCommand} from '@gentianshunt/configuration';
import {request} from 'undici';

const RETRY_MS = 100;
const MAX_TRIES = 100;

/** Sends an operator's command until it is in force. */
export async function sendCommand(
  entry: string,
  number: number,
  commands: readonly ObjectCommand[],
): Promise<void> {
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const reply = await request(`${entry}/v1/operator/commands`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({number, operator: 'demo', commands}),
    });
    const progress = (await reply.body.json()) as {readonly kind: string};
    if (progress.kind === 'force') {
      return;
    }
    if (progress.kind === 'answered') {
      throw new Error(JSON.stringify(progress));
    }
    await delay(RETRY_MS);
  }
  throw new Error('the command did not come into force');
}

/** Waits until the entries list the endpoints of both sets. */
export async function awaitService(entries: readonly string[]): Promise<void> {
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const lists = await Promise.all(entries.map(readEndpointSets));
    const sets = new Set(lists.flat());
    if (sets.has('drafts') && sets.has('registry')) {
      return;
    }
    await delay(RETRY_MS);
  }
  throw new Error('the endpoints did not appear');
}

async function readEndpointSets(entry: string): Promise<readonly string[]> {
  const reply = await request(`${entry}/v1/operator/endpoints`);
  const endpoints = (await reply.body.json()) as readonly {
    readonly set: string;
  }[];
  return endpoints.map(endpoint => endpoint.set);
}

/** Prints how many requests the entries still hold. */
export async function printLiveRequests(
  entries: readonly string[],
): Promise<void> {
  const lists = await Promise.all(
    entries.map(async entry => {
      const reply = await request(`${entry}/v1/operator/requests`);
      return (await reply.body.json()) as readonly unknown[];
    }),
  );
  console.log(`requests left in the entries: ${lists.flat().length}`);
}
