import t from 'tap';

import {createLargeSet} from './largeSet.js';
import type {LargeSetOptions} from './largeSet.js';

const SERVICE_MS = 350;
/** Requests that arrive, relative to what the endpoints can process. */
const OVERLOAD = 2;
const RAMP_MS = 4_000;
const SAMPLES = 300;
const SAMPLE_MS = 20;
/** Least part of the capacity in use while requests wait. */
const MIN_USE = 0.95;

type Deployment = Pick<
  LargeSetOptions,
  'entries' | 'endpoints' | 'concurrency'
>;

const DEPLOYMENTS: readonly Deployment[] = [
  {entries: 22, endpoints: 11, concurrency: 8},
  {entries: 72, endpoints: 98, concurrency: 4},
  {entries: 124, endpoints: 42, concurrency: 8},
];

/** Plays an overload; returns the part of the capacity that is in use. */
function measureUse(deployment: Deployment, delayMs: number): number {
  const capacity = deployment.endpoints * deployment.concurrency;
  const set = createLargeSet({
    ...deployment,
    delayMs,
    leaderSilence: {kind: 'useFallbackCapacity'},
    serviceMs: SERVICE_MS,
    requestsPerSecond: (OVERLOAD * capacity * 1_000) / SERVICE_MS,
  });
  set.runArrivals(RAMP_MS);
  let running = 0;
  for (let sample = 0; sample < SAMPLES; sample += 1) {
    set.runArrivals(SAMPLE_MS);
    running += set.running;
  }
  return running / (SAMPLES * capacity);
}

// Guards against endpoints with nothing to do while requests wait: their
// capacity comes back to the leader late, and is granted late.
for (const deployment of DEPLOYMENTS) {
  for (const delayMs of [25, 200]) {
    const {entries, endpoints} = deployment;
    t.test(
      `${entries} entries, ${endpoints} endpoints, messages of ${delayMs} ms`,
      async t => {
        const use = measureUse(deployment, delayMs);
        t.ok(use > MIN_USE, `${use.toFixed(3)} of the capacity is in use`);
      },
    );
  }
}
