import {setTimeout as delay} from 'node:timers/promises';

import {createDeployment} from '@gentianshunt/deployment';
import type {Deployment} from '@gentianshunt/deployment';
import {awaitEndpoint, formatCommands, sendCommands} from '@gentianshunt/entry';
import {
  ENDPOINT_SET,
  formatOrganisationId,
  REQUEST_KIND,
} from '@gentianshunt/virtualEntry';
import {request} from 'undici';

const CALL_INTERVAL_MS = 10;
const BEFORE_KILL_MS = 3_000;
const AFTER_KILL_MS = 12_000;

/** How callers were affected by the failure of their set leader. */
export interface FailoverGap {
  /** Longest time in which no call was answered, in milliseconds. */
  readonly gapMs: number;
  readonly answered: number;
  readonly failed: number;
}

/** Kills the set leader while calls are sent through another entry. */
export async function measureFailover(): Promise<FailoverGap> {
  const deployment = await createDeployment({controls: 3, entries: 3});
  try {
    const leader = await startEngine(deployment);
    const other = deployment.entries.find(entry => entry !== leader)!;
    const answeredAt: number[] = [];
    const calls: Promise<void>[] = [];
    let failed = 0;
    const startedAt = performance.now();
    let isKilled = false;
    while (performance.now() - startedAt < BEFORE_KILL_MS + AFTER_KILL_MS) {
      calls.push(
        call(other.url).then(isAnswered => {
          if (isAnswered) {
            answeredAt.push(performance.now());
          } else {
            failed += 1;
          }
        }),
      );
      if (!isKilled && performance.now() - startedAt > BEFORE_KILL_MS) {
        isKilled = true;
        await leader.process.stop('SIGKILL');
      }
      await delay(CALL_INTERVAL_MS);
    }
    await Promise.all(calls);
    const gaps = answeredAt
      .slice(1)
      .map((atMs, index) => atMs - answeredAt[index]!);
    return {gapMs: Math.max(...gaps), answered: answeredAt.length, failed};
  } finally {
    await deployment.stop();
  }
}

async function startEngine(deployment: Deployment) {
  const {url} = deployment.entries[0]!;
  await sendCommands(url, formatCommands(1));
  await deployment.startEngine({
    endpoint: 'engine-0',
    set: ENDPOINT_SET,
    extra: ['--batch', '64', '--step-ms', '2'],
  });
  const leader = await findLeader(deployment);
  return leader;
}

/**
 * Finds the set leader by announcing a leaving endpoint: the reply names the
 * set leader's URL for the next announcement.
 */
async function findLeader(deployment: Deployment) {
  const {url} = deployment.entries[0]!;
  await awaitEndpoint(url);
  const reply = await request(`${url}/v1/endpoints/announce`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({
      endpoint: 'probe',
      incarnation: 'start-1',
      set: ENDPOINT_SET,
      domain: 'a',
      url: 'http://127.0.0.1:9',
      concurrency: 1,
      leaving: true,
    }),
  });
  const body = (await reply.body.json()) as {readonly announceTo: string};
  return deployment.entries.find(entry => entry.url === body.announceTo)!;
}

async function call(url: string): Promise<boolean> {
  const reply = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-organisation': formatOrganisationId(0),
      'x-kind': REQUEST_KIND,
    },
    body: JSON.stringify({
      model: ENDPOINT_SET,
      messages: [{role: 'user', content: 'question'}],
      max_tokens: 2,
    }),
  }).catch(() => undefined);
  const text = await reply?.body.text().catch(() => '');
  return reply?.statusCode === 200 && text!.endsWith('data: [DONE]\n\n');
}
