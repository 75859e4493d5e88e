/** Checks that a set stays in use while its leader is replaced or has no lease. */
import t from 'tap';

import {LEADER} from './largeSet.js';
import type {LargeSet} from './largeSet.js';
import {createOverload, measureUse, MIN_USE} from './overloadedSet.js';
import type {Deployment} from './overloadedSet.js';

/** Longer than a lease. */
const CUT_MS = 3_200;
/** In this time all entries learn that the set has another leader. */
const LEARN_MS = 700;
const SAMPLES = 100;

/**
 * Cuts the set leader off from the control daemons until it is replaced. The
 * endpoints go on reporting to it.
 */
function replaceCutLeader(deployment: Deployment): LargeSet {
  const set = createOverload(deployment, 25);
  set.entries.find(LEADER).setControlPartitioned(true);
  set.runArrivals(CUT_MS);
  set.replaceLeader();
  set.runArrivals(LEARN_MS);
  return set;
}

/** Guards against a new set leader that begins without endpoints. */
export function checkReplacedLeader(deployment: Deployment): void {
  t.test(
    `${deployment.entries} entries whose new set leader has heard of no endpoint`,
    async t => {
      const set = replaceCutLeader(deployment);
      const use = measureUse(set, deployment, SAMPLES);
      t.ok(use > MIN_USE, `${use.toFixed(3)} of the capacity is in use`);
    },
  );
}

/** Measures the use of a set some time after its leader got into trouble. */
function measureUseAfter(
  deployment: Deployment,
  inject: (set: LargeSet) => void,
): number {
  const set = createOverload(deployment, 25);
  inject(set);
  set.runArrivals(CUT_MS + LEARN_MS);
  return measureUse(set, deployment, SAMPLES);
}

/** Guards against taking a reply for progress: a leader without a lease replies. */
export function checkLapsedLeader(deployment: Deployment): void {
  t.test(
    `${deployment.entries} entries use no less while their leader replies without a lease than while it is silent`,
    async t => {
      const lapsed = measureUseAfter(deployment, set =>
        set.entries.find(LEADER).setControlPartitioned(true),
      );
      const silent = measureUseAfter(deployment, set =>
        set.entries.find(LEADER).freeze(),
      );
      const part = (lapsed / silent).toFixed(3);
      t.ok(lapsed > MIN_USE * silent, `${part} of what is used without it`);
    },
  );
}
