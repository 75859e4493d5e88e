import {setTimeout as delay} from 'node:timers/promises';

import {runCommandText, runQueryText} from '@gentianshunt/operatorClient';
import type {EntryAccess} from '@gentianshunt/operatorClient';
import {
  ENDPOINT_SET,
  formatOrganisationId,
  REQUEST_KIND,
  TIERS,
} from '@gentianshunt/virtualEntry';

const RETRY_MS = 100;
const MAX_TRIES = 100;

/** Creates the access to an entry's operator API. */
export function createOperatorAccess(entry: string): EntryAccess {
  return {entries: [entry], key: null, operator: 'bench'};
}

/** Formats the commands that create a benchmark's configuration objects. */
export function formatCommands(organisations: number): string {
  const tierCommands = TIERS.map(
    (tier, index) =>
      `create tier ${tier} rank ${index + 1} weight 1 first-token-target-ms 1100`,
  );
  const organisationCommands = Array.from(
    {length: organisations},
    (_, index) =>
      `create organisation ${formatOrganisationId(index)} weight 1 tiers ${TIERS.join(', ')}`,
  );
  return [
    ...tierCommands,
    ...organisationCommands,
    `create set ${ENDPOINT_SET} model ${ENDPOINT_SET}`,
    `create kind ${REQUEST_KIND} idempotent true weight 1`,
  ]
    .map(command => `${command};`)
    .join('\n');
}

/** Sends operator commands to an entry and waits until they are in force. */
export async function sendCommands(entry: string, text: string): Promise<void> {
  const access = createOperatorAccess(entry);
  await retry(async () => {
    const outcome = await runCommandText({access, text, number: 1});
    return outcome.kind === 'inForce';
  });
}

/** Waits until an entry lists at least one endpoint. */
export async function awaitEndpoint(entry: string): Promise<void> {
  await retry(async () => {
    const outcome = await runQueryText(
      createOperatorAccess(entry),
      'show endpoints',
    );
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
  throw new Error('the deployment was not ready in time');
}
