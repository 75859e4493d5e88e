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

/** Calls in turn until told to stop, going where a problem points. */
async function callInTurn(
  first: string,
  isOver: () => boolean,
): Promise<readonly CallOutcome[]> {
  const outcomes: CallOutcome[] = [];
  let url = first;
  while (!isOver()) {
    const outcome = await callChat({url, tokens: SHORT_TOKENS});
    outcomes.push(outcome);
    if (outcome.kind === 'refused') {
      url = outcome.problem.addresses[0]?.url ?? url;
    }
  }
  return outcomes;
}

async function isAnyStarted(
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

t.test('a graceful shutdown under load cuts no request', async t => {
  const {deployment, urls, engines} = await startDeployment();
  t.teardown(() => deployment.stop());
  const leaver = deployment.entries[1]!;
  const {child} = leaver.process;
  let isOver = false;
  const long = callChat({url: leaver.url, tokens: LONG_TOKENS});
  t.ok(await waitUntil(5_000, () => isAnyStarted(engines)));
  const load = Array.from({length: 12}, (_, index) =>
    callInTurn(urls[index % urls.length]!, () => isOver),
  );

  const exited = new Promise(resolve => child.once('exit', resolve));
  child.kill('SIGTERM');
  const isOutOfLookup = await waitUntil(2_000, async () => {
    const {addresses} = await readJson<Lookup>(
      `${urls[0]}/v1/addresses?organisation=north-lab&set=drafts`,
    );
    return addresses.every(({url}) => url !== leaver.url);
  });
  t.ok(isOutOfLookup, 'the lookup lists it no more');
  t.equal(child.exitCode, null, 'it still answers');
  const late = await callChat({url: leaver.url, tokens: SHORT_TOKENS});
  t.equal(late.kind, 'refused', 'a new request is pointed elsewhere');
  if (late.kind === 'refused') {
    t.equal(late.problem.notRun, true);
    t.ok(late.problem.addresses.length > 0);
    t.ok(late.problem.addresses.every(({url}) => url !== leaver.url));
  }

  const answer = await long;
  t.equal(answer.kind, 'whole', 'the running answer is whole');
  t.equal(answer.kind === 'whole' && countTokens(answer.text), LONG_TOKENS);
  t.equal(await exited, 0, 'it exits by itself');
  isOver = true;
  const outcomes = (await Promise.all(load)).flat();
  t.ok(outcomes.filter(({kind}) => kind === 'whole').length > 50);
  t.equal(outcomes.filter(({kind}) => kind === 'cut').length, 0);
  t.ok(listProblems(outcomes).every(problem => problem.notRun));
});

t.test('a second signal ends an entry at once', async t => {
  const {deployment, engines} = await startDeployment();
  t.teardown(() => deployment.stop());
  const leaver = deployment.entries[1]!;
  const {child} = leaver.process;
  const long = callChat({url: leaver.url, tokens: LONG_TOKENS});
  t.ok(await waitUntil(5_000, () => isAnyStarted(engines)));
  child.kill('SIGTERM');
  await waitUntil(2_000, async () => {
    const late = await callChat({url: leaver.url, tokens: SHORT_TOKENS});
    return late.kind === 'refused';
  });
  child.kill('SIGTERM');
  t.ok(await waitUntil(500, () => child.exitCode !== null));
  const outcome = await long;
  t.not(outcome.kind, 'whole', 'its caller sees that the answer is not whole');
});
