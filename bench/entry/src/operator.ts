import {setTimeout as delay} from 'node:timers/promises';

import {runCommandText, runQueryText} from '@gentianshunt/operatorClient';
import type {EntryAccess} from '@gentianshunt/operatorClient';
import {formatOrganisation, KIND, SET, TIERS} from '@gentianshunt/virtualEntry';

const RETRY_MS = 100;
const MAX_TRIES = 100;

/** Creates access to the operators' front of an entry. */
export function createAccess(entry: string): EntryAccess {
  return {entries: [entry], key: null, operator: 'bench'};
}

/** Writes the commands that create what a bench needs. */
export function formatCommands(organisations: number): string {
  const tiers = TIERS.map(
    (tier, index) =>
      `create tier ${tier} rank ${index + 1} weight 1 first-token-target-ms 1100`,
  );
  const owners = Array.from(
    {length: organisations},
    (_, index) =>
      `create organisation ${formatOrganisation(index)} weight 1 tiers ${TIERS.join(', ')}`,
  );
  return [
    ...tiers,
    ...owners,
    `create set ${SET} model ${SET}`,
    `create kind ${KIND} idempotent true weight 1`,
  ]
    .map(command => `${command};`)
    .join('\n');
}

/** Sends a text of commands and waits until they are in force. */
export async function sendCommands(entry: string, text: string): Promise<void> {
  const access = createAccess(entry);
  await retry(async () => {
    const outcome = await runCommandText({access, text, number: 1});
    return outcome.kind === 'inForce';
  });
}

/** Waits until an entry lists an endpoint. */
export async function awaitEndpoint(entry: string): Promise<void> {
  await retry(async () => {
    const outcome = await runQueryText(createAccess(entry), 'show endpoints');
    return outcome.kind === 'rows' && outcome.result.rows.length > 0;
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
