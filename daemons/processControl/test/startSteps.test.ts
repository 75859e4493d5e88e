import t from 'tap';

import {
  decideRetry,
  listenWithRetry,
  openStorage,
  readSettingsWithRetry,
} from '../src/index.js';
import type {EndCause, StepContext, StartStepError} from '../src/index.js';

const ADDRESS = {host: '127.0.0.1', port: 1};
const HELD = Object.assign(new Error('held'), {code: 'EADDRINUSE'});

interface ContextFixture {
  readonly context: StepContext;
  readonly events: string[];
  cancel(): void;
}

function createContextFixture(): ContextFixture {
  const events: string[] = [];
  const controller = new AbortController();
  return {
    context: {
      cancelled: controller.signal,
      write: event => events.push(event.kind),
    },
    events,
    cancel: () => controller.abort(),
  };
}

/** Creates an attempt that fails some times before it succeeds. */
function createAttempt(failures: number, error: Error): () => Promise<string> {
  let left = failures;
  return async () => {
    left -= 1;
    if (left >= 0) {
      throw error;
    }
    return 'open';
  };
}

async function findEndCause(
  result: Promise<unknown>,
): Promise<EndCause | undefined> {
  try {
    await result;
    return undefined;
  } catch (error) {
    return (error as StartStepError).endCause;
  }
}

t.test('a step is tried again until its limit', async t => {
  const limits = {limitMs: 1_000, intervalMs: 300};
  const decide = (isTemporary: boolean, waitedMs: number) =>
    decideRetry({isTemporary, waitedMs}, limits);
  t.same(decide(true, 0), {kind: 'retry', delayMs: 300});
  t.same(decide(true, 900), {kind: 'retry', delayMs: 100});
  t.same(decide(true, 1_000), {kind: 'giveUp'});
  t.same(decide(false, 0), {kind: 'giveUp'});
});

t.test('a held address is awaited, with a line for each try', async t => {
  const {context, events} = createContextFixture();
  const attempt = createAttempt(2, HELD);
  t.equal(await listenWithRetry(context, ADDRESS, attempt), 'open');
  t.same(events, ['startRetried', 'startRetried']);
});

t.test('another failure to listen ends the start at once', async t => {
  const {context, events} = createContextFixture();
  const denied = Object.assign(new Error('denied'), {code: 'EACCES'});
  const cause = await findEndCause(
    listenWithRetry(context, ADDRESS, createAttempt(9, denied)),
  );
  t.match(cause, {kind: 'startFailed', error: denied});
  t.same(events, []);
});

t.test('settings are read again', async t => {
  const {context, events} = createContextFixture();
  let reads = 0;
  const read = (): string => {
    reads += 1;
    if (reads === 1) {
      throw new Error('half written');
    }
    return 'settings';
  };
  t.equal(await readSettingsWithRetry(context, 'x.toml', read), 'settings');
  t.same(events, ['startRetried']);
});

t.test('a cancelled start tries nothing again', async t => {
  const {context, cancel} = createContextFixture();
  const result = listenWithRetry(context, ADDRESS, createAttempt(99, HELD));
  cancel();
  await t.rejects(result, {name: 'AbortError'});
});

t.test('a failed disk is the cause of the end', async t => {
  const failing = openStorage(() => Promise.reject(HELD));
  t.match(await findEndCause(failing), {kind: 'storageFailed', error: HELD});
});
