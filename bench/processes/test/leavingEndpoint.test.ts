import t from 'tap';

import {callChat, readJson, startDeployment, waitUntil} from '../src/index.js';

const LEAVING_LIMIT_MS = 3_000;
const OBSERVED_MS = 1_500;

interface Counts {
  readonly started: number;
}

/** Calls in turn until told to stop; counts whole answers. */
async function callInTurn(url: string, isOver: () => boolean): Promise<number> {
  let answered = 0;
  while (!isOver()) {
    const {kind} = await callChat({url, tokens: 5});
    answered += kind === 'whole' ? 1 : 0;
  }
  return answered;
}

async function readStarted(url: string): Promise<number> {
  const {started} = await readJson<Counts>(`${url}/counts`);
  return started;
}

t.test('an endpoint that says it leaves gets no new work', async t => {
  const {deployment, engines, urls} = await startDeployment();
  t.teardown(() => deployment.stop());
  const [leaver, other] = [engines[0]!, engines[1]!];
  let isOver = false;
  const load = urls.map(url => callInTurn(url, () => isOver));
  const isUsed = await waitUntil(
    5_000,
    async () => (await readStarted(leaver.url)) > 0,
  );
  t.ok(isUsed, 'both are used before');

  leaver.process.child.kill('SIGUSR2');
  const leftAt = performance.now();
  await waitUntil(
    2 * LEAVING_LIMIT_MS,
    () => performance.now() > leftAt + LEAVING_LIMIT_MS,
  );
  const before = await readStarted(leaver.url);
  const otherBefore = await readStarted(other.url);
  await waitUntil(
    2 * OBSERVED_MS,
    () => performance.now() > leftAt + LEAVING_LIMIT_MS + OBSERVED_MS,
  );
  t.equal(await readStarted(leaver.url), before);
  t.ok((await readStarted(other.url)) > otherBefore, 'the other one works on');
  isOver = true;
  t.ok((await Promise.all(load)).every(answered => answered > 0));
});

t.test('a silent endpoint gets no new work', async t => {
  const {deployment, engines, urls} = await startDeployment();
  t.teardown(() => deployment.stop());
  const silent = engines[0]!.process.child;
  silent.kill('SIGSTOP');
  const stoppedAt = performance.now();
  await waitUntil(
    2 * LEAVING_LIMIT_MS,
    // Slots granted in the last moment may live on for their lifetime.
    () => performance.now() > stoppedAt + LEAVING_LIMIT_MS + 2_500,
  );
  const late = await Promise.all(
    Array.from({length: 30}, (_, index) =>
      callChat({
        url: urls[index % urls.length]!,
        tokens: 5,
        signal: AbortSignal.timeout(5_000),
      }),
    ),
  );
  t.strictSame(
    late.map(({kind}) => kind),
    late.map(() => 'whole'),
  );
  silent.kill('SIGCONT');
});
