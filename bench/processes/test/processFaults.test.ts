import t from 'tap';

import {
  callChat,
  callService,
  countTokens,
  postToStandIn,
  readJson,
  retryService,
  startDeployment,
  waitUntil,
} from '../src/index.js';

const TOKENS = 150;
/** Time in which an entry that was frozen admits calls again. */
const RECOVERY_MS = 5_000;

interface Counts {
  readonly started: number;
  readonly cancelled: number;
}

interface ServiceRun {
  readonly body: string;
}

async function sumEngineCounts(
  urls: readonly string[],
  read: (counts: Counts) => number,
): Promise<number> {
  const all = await Promise.all(
    urls.map(url => readJson<Counts>(`${url}/counts`)),
  );
  return all.map(read).reduce((sum, count) => sum + count, 0);
}

t.test('a running deployment tolerates faults of its processes', async t => {
  const {deployment, engines, service, urls} = await startDeployment();
  t.teardown(() => deployment.stop());
  const engineUrls = engines.map(engine => engine.url);
  const awaitStarted = async (count: number): Promise<boolean> =>
    waitUntil(
      5_000,
      async () =>
        (await sumEngineCounts(engineUrls, counts => counts.started)) >= count,
    );
  const countRuns = async (key: string): Promise<number> => {
    const runs = await readJson<readonly ServiceRun[]>(`${service.url}/runs`);
    return runs.filter(({body}) => body.includes(key)).length;
  };

  await t.test(
    'a broken stream is resumed and the answer is complete',
    async t => {
      const started = await sumEngineCounts(
        engineUrls,
        counts => counts.started,
      );
      const call = callChat({url: urls[0]!, tokens: TOKENS});
      t.ok(await awaitStarted(started + 1));
      await Promise.all(engineUrls.map(url => postToStandIn(`${url}/cut`)));
      const outcome = await call;
      t.equal(outcome.kind, 'whole');
      t.equal(outcome.kind === 'whole' && countTokens(outcome.text), TOKENS);
      const after = await sumEngineCounts(engineUrls, counts => counts.started);
      t.equal(after, started + 1, 'the engines started the request once');
    },
  );

  await t.test(
    'a request is cancelled when its caller disconnects',
    async t => {
      const cancelled = await sumEngineCounts(
        engineUrls,
        counts => counts.cancelled,
      );
      const started = await sumEngineCounts(
        engineUrls,
        counts => counts.started,
      );
      const caller = new AbortController();
      const {signal} = caller;
      const call = callChat({url: urls[0]!, tokens: TOKENS, signal});
      t.ok(await awaitStarted(started + 1));
      caller.abort();
      await call;
      t.ok(
        await waitUntil(
          500,
          async () =>
            (await sumEngineCounts(engineUrls, counts => counts.cancelled)) >
            cancelled,
        ),
      );
    },
  );

  await t.test(
    'an answer is kept for a resend when its caller disconnects',
    async t => {
      const caller = new AbortController();
      const {signal} = caller;
      const call = callService({url: urls[0]!, key: 'kept-1', signal});
      t.ok(
        await waitUntil(5_000, async () => (await countRuns('kept-1')) === 1),
      );
      caller.abort();
      await call;
      const resend = await callService({url: urls[1]!, key: 'kept-1'});
      t.equal(resend.kind, 'whole');
      t.equal(await countRuns('kept-1'), 1);
    },
  );

  await t.test(
    'a resend during a running call waits for its answer',
    async t => {
      const [first, second] = await Promise.all([
        callService({url: urls[0]!, key: 'twice-1'}),
        callService({url: urls[1]!, key: 'twice-1'}),
      ]);
      t.equal(first.kind, 'whole');
      t.strictSame(second, first);
      t.equal(await countRuns('twice-1'), 1);
    },
  );

  await t.test(
    'an idempotency key with different content is refused',
    async t => {
      const {kind} = await callService({url: urls[0]!, key: 'reused-1'});
      t.equal(kind, 'whole');
      const content = 'reused-1 changed';
      const key = 'reused-1';
      const reuse = await callService({url: urls[1]!, key, content});
      t.equal(reuse.kind === 'refused' && reuse.status, 422);
      t.equal(reuse.kind === 'refused' && reuse.problem.notRun, true);
      t.equal(await countRuns('reused-1'), 1);
    },
  );

  await t.test(
    'an entry that was frozen completes its call and runs it once',
    async t => {
      const entry = deployment.entries[2]!;
      const call = callService({url: entry.url, key: 'frozen-1'});
      t.ok(
        await waitUntil(5_000, async () => (await countRuns('frozen-1')) === 1),
      );
      entry.process.child.kill('SIGSTOP');
      const until = performance.now() + 4_000;
      await waitUntil(5_000, () => performance.now() > until);
      entry.process.child.kill('SIGCONT');
      t.equal((await call).kind, 'whole');
      t.equal(await countRuns('frozen-1'), 1);
    },
  );

  await t.test('a call of a killed entry is never run again', async t => {
    const entry = deployment.entries[2]!;
    // It has just been frozen and may still refuse calls as overloaded.
    const call = retryService({url: entry.url, key: 'killed-1'}, RECOVERY_MS);
    t.ok(
      await waitUntil(
        RECOVERY_MS,
        async () => (await countRuns('killed-1')) === 1,
      ),
    );
    await entry.process.stop('SIGKILL');
    t.not((await call).kind, 'whole');
    const resend = await callService({url: urls[0]!, key: 'killed-1'});
    t.equal(resend.kind === 'refused' && resend.status, 409);
    t.equal(resend.kind === 'refused' && resend.problem.notRun, false);
    t.equal(await countRuns('killed-1'), 1);
  });

  await t.test(
    'calls are answered while one control daemon is down',
    async t => {
      await deployment.controls[0]!.process.stop('SIGKILL');
      const outcomes = await Promise.all(
        urls
          .slice(0, 2)
          .map((url, index) => callService({url, key: `less-${index}`})),
      );
      t.ok(outcomes.every(({kind}) => kind === 'whole'));
      await deployment.restartControl(deployment.controls[0]!.node);
    },
  );

  await t.test(
    'killing the engines gives an error, not a truncated answer',
    async t => {
      const started = await sumEngineCounts(
        engineUrls,
        counts => counts.started,
      );
      const call = callChat({url: urls[0]!, tokens: TOKENS});
      t.ok(await awaitStarted(started + 1));
      await Promise.all(engines.map(engine => engine.process.stop('SIGKILL')));
      const outcome = await call;
      t.not(outcome.kind, 'whole');
      t.not(outcome.kind === 'refused' && outcome.problem.notRun, true);
    },
  );
});
