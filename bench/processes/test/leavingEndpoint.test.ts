import t from 'tap';

import {callChat, readJson, startDeployment, waitUntil} from '../src/index.js';

const MAX_LEAVING_MS = 3_000;
const OBSERVATION_MS = 1_500;

interface Counts {
  readonly started: number;
}

/**
 * Makes one call after another until `isOver` holds; returns the number of
 * complete answers.
 */
async function callSequentially(
  url: string,
  isOver: () => boolean,
): Promise<number> {
  let answered = 0;
  while (!isOver()) {
    const {kind} = await callChat({url, tokens: 5});
    answered += kind === 'whole' ? 1 : 0;
  }
  return answered;
}

async function readStartedCount(url: string): Promise<number> {
  const {started} = await readJson<Counts>(`${url}/counts`);
  return started;
}

t.test('an endpoint that announces its leaving gets no new work', async t => {
  const {deployment, engines, urls} = await startDeployment();
  t.teardown(() => deployment.stop());
  const [leavingEngine, otherEngine] = [engines[0]!, engines[1]!];
  let isOver = false;
  const load = urls.map(url => callSequentially(url, () => isOver));
  const isUsed = await waitUntil(
    5_000,
    async () => (await readStartedCount(leavingEngine.url)) > 0,
  );
  t.ok(isUsed, 'the engine gets work before it leaves');

  leavingEngine.process.child.kill('SIGUSR2');
  const leavingSince = performance.now();
  await waitUntil(
    2 * MAX_LEAVING_MS,
    () => performance.now() > leavingSince + MAX_LEAVING_MS,
  );
  const startedBefore = await readStartedCount(leavingEngine.url);
  const otherStartedBefore = await readStartedCount(otherEngine.url);
  await waitUntil(
    2 * OBSERVATION_MS,
    () => performance.now() > leavingSince + MAX_LEAVING_MS + OBSERVATION_MS,
  );
  t.equal(await readStartedCount(leavingEngine.url), startedBefore);
  t.ok(
    (await readStartedCount(otherEngine.url)) > otherStartedBefore,
    'the other engine still gets work',
  );
  isOver = true;
  t.ok((await Promise.all(load)).every(answered => answered > 0));
});

t.test('a silent endpoint gets no new work', async t => {
  const {deployment, engines, urls} = await startDeployment();
  t.teardown(() => deployment.stop());
  const silentEngine = engines[0]!.process.child;
  silentEngine.kill('SIGSTOP');
  const stoppedAt = performance.now();
  await waitUntil(
    2 * MAX_LEAVING_MS,
    // Slots granted just before the stop stay usable for their lifetime.
    () => performance.now() > stoppedAt + MAX_LEAVING_MS + 2_500,
  );
  const lateOutcomes = await Promise.all(
    Array.from({length: 30}, (_, index) =>
      callChat({
        url: urls[index % urls.length]!,
        tokens: 5,
        signal: AbortSignal.timeout(5_000),
      }),
    ),
  );
  t.strictSame(
    lateOutcomes.map(({kind}) => kind),
    lateOutcomes.map(() => 'whole'),
  );
  silentEngine.kill('SIGCONT');
});
