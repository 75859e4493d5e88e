import t from 'tap';

import {
  decayFailureRate,
  decideTrafficLevel,
  FAILURE_RATE_DECAY_MS,
  learnFailureRate,
} from '../src/index.js';
import type {EndpointFailures, TrafficLevel} from '../src/index.js';

/** Returns the failure rate after the given outcomes, oldest first. */
function learn(outcomes: readonly boolean[]): number {
  return outcomes.reduce((rate, failed) => learnFailureRate(rate, failed), 0);
}

const rows: readonly {
  readonly name: string;
  readonly failures: EndpointFailures | undefined;
  readonly level: TrafficLevel;
}[] = [
  {name: 'nothing is known', failures: undefined, level: 'full'},
  {
    name: 'one failure among many',
    failures: {
      failureRate: learn([true, false, false, false]),
      failingFor: 0,
      unreachableBy: 0,
    },
    level: 'full',
  },
  {
    name: 'the only request of one entry failed',
    failures: {failureRate: learn([true]), failingFor: 1, unreachableBy: 0},
    level: 'full',
  },
  {
    name: 'the only requests of two entries failed',
    failures: {failureRate: learn([true]), failingFor: 2, unreachableBy: 0},
    level: 'probe',
  },
  {
    name: 'two failures in a row',
    failures: {
      failureRate: learn([false, true, true]),
      failingFor: 1,
      unreachableBy: 0,
    },
    level: 'probe',
  },
  {
    name: 'one entry cannot connect',
    failures: {failureRate: 0, failingFor: 0, unreachableBy: 1},
    level: 'probe',
  },
  {
    name: 'two entries cannot connect',
    failures: {failureRate: 0, failingFor: 0, unreachableBy: 2},
    level: 'none',
  },
];

for (const {name, failures, level} of rows) {
  t.test(`traffic level when ${name}`, async t => {
    t.equal(decideTrafficLevel(failures), level);
  });
}

t.test(
  'the failure rate decays until the endpoint gets full traffic again',
  async t => {
    const failureRate = decayFailureRate(
      learn([true, true, true]),
      FAILURE_RATE_DECAY_MS,
    );
    t.equal(
      decideTrafficLevel({failureRate, failingFor: 1, unreachableBy: 0}),
      'full',
    );
  },
);

t.test('of many requests a few failing entries mean little', async t => {
  const failures = {failureRate: 0.3, failingFor: 5, unreachableBy: 0};
  const use = {requestsPerSecond: 170, entries: 83};
  t.equal(decideTrafficLevel(failures, use), 'full');
  t.equal(decideTrafficLevel({...failures, failingFor: 24}, use), 'probe');
  t.equal(
    decideTrafficLevel({...failures, failingFor: 6}, {...use, entries: 12}),
    'probe',
  );
  t.equal(
    decideTrafficLevel(failures, {...use, requestsPerSecond: 7}),
    'probe',
  );
});
