import t from 'tap';

import {
  callChat,
  countTokens,
  readJson,
  startDeployment,
  waitUntil,
} from '../src/index.js';
import type {CallOutcome, Problem} from '../src/index.js';

const LONG_TOKENS = 300;
const SHORT_TOKENS = 20;

interface Lookup {
  readonly addresses: readonly {readonly url: string}[];
}

/**
 * Makes one call after another until `isOver` holds; after a refusal it calls
 * the first address that the problem document lists.
 */
async function callSequentially(
  firstUrl: string,
  isOver: () => boolean,
): Promise<readonly CallOutcome[]> {
  const outcomes: CallOutcome[] = [];
  let url = firstUrl;
  while (!isOver()) {
    const outcome = await callChat({url, tokens: SHORT_TOKENS});
    outcomes.push(outcome);
    if (outcome.kind === 'refused') {
      url = outcome.problem.addresses[0]?.url ?? url;
    }
  }
  return outcomes;
}

async function hasAnyEngineStarted(
  engines: readonly {readonly url: string}[],
): Promise<boolean> {
  const counts = await Promise.all(
    engines.map(({url}) =>
      readJson<{readonly started: number}>(`${url}/counts`),
    ),
  );
  return counts.some(({started}) => started > 0);
}

function listProblems(outcomes: readonly CallOutcome[]): readonly Problem[] {
  return outcomes.flatMap(outcome =>
    outcome.kind === 'refused' ? [outcome.problem] : [],
  );
}

t.test('a graceful shutdown under load truncates no answer', async t => {
  const {deployment, urls, engines} = await startDeployment();
  t.teardown(() => deployment.stop());
  const leavingEntry = deployment.entries[1]!;
  const {child} = leavingEntry.process;
  let isOver = false;
  const longCall = callChat({url: leavingEntry.url, tokens: LONG_TOKENS});
  t.ok(await waitUntil(5_000, () => hasAnyEngineStarted(engines)));
  const load = Array.from({length: 12}, (_, index) =>
    callSequentially(urls[index % urls.length]!, () => isOver),
  );

  const exited = new Promise(resolve => child.once('exit', resolve));
  child.kill('SIGTERM');
  const isOutOfLookup = await waitUntil(2_000, async () => {
    const {addresses} = await readJson<Lookup>(
      `${urls[0]}/v1/addresses?organisation=north-lab&set=drafts`,
    );
    return addresses.every(({url}) => url !== leavingEntry.url);
  });
  t.ok(isOutOfLookup, 'the address lookup no longer lists the entry');
  t.equal(child.exitCode, null, 'the entry still runs');
  const lateOutcome = await callChat({
    url: leavingEntry.url,
    tokens: SHORT_TOKENS,
  });
  t.equal(lateOutcome.kind, 'refused', 'a new request is refused');
  if (lateOutcome.kind === 'refused') {
    t.equal(lateOutcome.problem.notRun, true);
    t.ok(lateOutcome.problem.addresses.length > 0);
    t.ok(
      lateOutcome.problem.addresses.every(({url}) => url !== leavingEntry.url),
    );
  }

  const answer = await longCall;
  t.equal(answer.kind, 'whole', 'the running answer is complete');
  t.equal(answer.kind === 'whole' && countTokens(answer.text), LONG_TOKENS);
  t.equal(await exited, 0, 'the entry exits with success');
  isOver = true;
  const outcomes = (await Promise.all(load)).flat();
  t.ok(outcomes.filter(({kind}) => kind === 'whole').length > 50);
  t.equal(outcomes.filter(({kind}) => kind === 'cut').length, 0);
  t.ok(listProblems(outcomes).every(problem => problem.notRun));
});

t.test('a second signal ends an entry at once', async t => {
  const {deployment, engines} = await startDeployment();
  t.teardown(() => deployment.stop());
  const leavingEntry = deployment.entries[1]!;
  const {child} = leavingEntry.process;
  const longCall = callChat({url: leavingEntry.url, tokens: LONG_TOKENS});
  t.ok(await waitUntil(5_000, () => hasAnyEngineStarted(engines)));
  child.kill('SIGTERM');
  await waitUntil(2_000, async () => {
    const lateOutcome = await callChat({
      url: leavingEntry.url,
      tokens: SHORT_TOKENS,
    });
    return lateOutcome.kind === 'refused';
  });
  child.kill('SIGTERM');
  t.ok(await waitUntil(500, () => child.exitCode !== null));
  const outcome = await longCall;
  t.not(outcome.kind, 'whole', 'the caller sees that the answer is incomplete');
});
