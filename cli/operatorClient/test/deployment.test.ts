import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {createDeployment} from '@gentianshunt/deployment';

import {runCommandText, runQueryText} from '../src/index.js';
import type {EntryAccess} from '../src/index.js';

const CREATE_TIERS = 'create tier gold rank 1; create tier silver rank 2';
const RETRY_MS = 100;
const MAX_ATTEMPTS = 150;

async function sendUntilInForce(
  access: EntryAccess,
  text: string,
  number: number,
) {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = await runCommandText({access, text, number});
    if (outcome.kind !== 'undecided' && outcome.kind !== 'accepted') {
      return outcome;
    }
    await delay(RETRY_MS);
  }
  return undefined;
}

t.test('a number keeps its first answer while daemons are killed', async t => {
  const deployment = await createDeployment({controls: 3, entries: 2});
  t.teardown(() => deployment.stop());
  const access = {
    entries: deployment.entries.map(entry => entry.url),
    key: null,
    operator: 'anna',
  };
  const first = await sendUntilInForce(access, CREATE_TIERS, 1);
  t.match(first, {kind: 'inForce', number: 1});
  // Kills each control daemon in turn, the leader among them.
  for (const node of deployment.controls.map(control => control.node)) {
    const control = deployment.controls.find(
      candidate => candidate.node === node,
    )!;
    await control.process.stop('SIGKILL');
    t.strictSame(await sendUntilInForce(access, CREATE_TIERS, 1), first, node);
    await deployment.restartControl(node);
  }
  const rival = {...access, operator: 'ben'};
  const taken = await sendUntilInForce(rival, CREATE_TIERS, 1);
  t.match(taken, {kind: 'numberTaken', winner: 'anna', nextFree: 2});
  const next = await runCommandText({
    access: rival,
    text: 'set tier gold weight 4',
    number: null,
  });
  t.match(next, {kind: 'inForce', number: 2});
  const tiers = await runQueryText(access, 'show tiers where weight = 4');
  t.match(tiers, {kind: 'rows', result: {rows: [['gold', 2]]}});
});

t.test('an invalid text is reported before a number is queried', async t => {
  const access = {
    entries: ['http://127.0.0.1:9'],
    key: null,
    operator: 'anna',
  };
  const outcome = await runCommandText({
    access,
    text: 'create tear x',
    number: null,
  });
  t.match(outcome, {kind: 'issue', issue: {position: {column: 1}}});
});
