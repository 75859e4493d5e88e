import t from 'tap';

import {
  ageTrouble,
  decideTrust,
  learnFailure,
  TROUBLE_FADE_MS,
} from '../src/index.js';
import type {EndpointTrust, TroubleVerdict} from '../src/index.js';

/** The share that outcomes lead to, oldest first. */
function learn(outcomes: readonly boolean[]): number {
  return outcomes.reduce((share, failed) => learnFailure(share, failed), 0);
}

const rows: readonly {
  readonly name: string;
  readonly verdict: TroubleVerdict | undefined;
  readonly trust: EndpointTrust;
}[] = [
  {name: 'nothing is known', verdict: undefined, trust: 'full'},
  {
    name: 'one failure among many',
    verdict: {
      failureShare: learn([true, false, false, false]),
      unreachableBy: 0,
    },
    trust: 'full',
  },
  {
    name: 'two failures in a row',
    verdict: {failureShare: learn([false, true, true]), unreachableBy: 0},
    trust: 'probe',
  },
  {
    name: 'one entry cannot connect',
    verdict: {failureShare: 0, unreachableBy: 1},
    trust: 'probe',
  },
  {
    name: 'two entries cannot connect',
    verdict: {failureShare: 0, unreachableBy: 2},
    trust: 'none',
  },
];

for (const {name, verdict, trust} of rows) {
  t.test(`trust when ${name}`, async t => {
    t.equal(decideTrust(verdict), trust);
  });
}

t.test('an endpoint is trusted again after a while', async t => {
  const failureShare = ageTrouble(learn([true, true, true]), TROUBLE_FADE_MS);
  t.equal(decideTrust({failureShare, unreachableBy: 0}), 'full');
});
