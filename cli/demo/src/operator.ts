import {setTimeout as delay} from 'node:timers/promises';

import {runCommandText, runQueryText} from '@gentianshunt/operatorClient';
import type {EntryAccess, QueryTextOutcome} from '@gentianshunt/operatorClient';

const RETRY_MS = 100;
const MAX_ATTEMPTS = 100;

/** Sends a text of commands under number 1 until they are in force. */
export async function sendCommands(
  access: EntryAccess,
  text: string,
): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = await runCommandText({access, text, number: 1});
    if (outcome.kind === 'inForce') {
      return;
    }
    if (outcome.kind !== 'accepted' && outcome.kind !== 'undecided') {
      throw new Error(JSON.stringify(outcome));
    }
    await delay(RETRY_MS);
  }
  throw new Error('the commands did not come into force');
}

/** Waits until the entries list the endpoints of both sets. */
export async function awaitEndpoints(access: EntryAccess): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const sets = new Set(await listColumn(access, 'show endpoints', 'set'));
    if (sets.has('drafts') && sets.has('registry')) {
      return;
    }
    await delay(RETRY_MS);
  }
  throw new Error('the endpoints did not appear');
}

/** Prints how many requests wait or run in the entries. */
export async function printLiveRequests(access: EntryAccess): Promise<void> {
  const requests = await listColumn(access, 'show requests', 'request');
  console.log(`requests left in the entries: ${requests.length}`);
}

async function listColumn(
  access: EntryAccess,
  text: string,
  name: string,
): Promise<readonly string[]> {
  const outcome = await runQueryText(access, text);
  return outcome.kind === 'rows' ? readColumn(outcome, name) : [];
}

function readColumn(
  {result}: Extract<QueryTextOutcome, {readonly kind: 'rows'}>,
  name: string,
): readonly string[] {
  const index = result.columns.findIndex(column => column.name === name);
  return result.rows.map(row => String(row[index]));
}
