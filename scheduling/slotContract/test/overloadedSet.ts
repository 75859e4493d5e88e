/** Sets to which twice as many requests arrive as their endpoints can process. */
import {createLargeSet} from './largeSet.js';
import type {LargeSet, LargeSetOptions} from './largeSet.js';

const SERVICE_MS = 350;
/** Requests that arrive, relative to what the endpoints can process. */
const OVERLOAD = 2;
const RAMP_MS = 4_000;
const SAMPLE_MS = 20;
/** Least part of the capacity in use while requests wait. */
export const MIN_USE = 0.95;

export type Deployment = Pick<
  LargeSetOptions,
  'entries' | 'endpoints' | 'concurrency'
>;

export const SMALL_DEPLOYMENT: Deployment = {
  entries: 22,
  endpoints: 11,
  concurrency: 8,
};
export const MIDDLE_DEPLOYMENT: Deployment = {
  entries: 72,
  endpoints: 98,
  concurrency: 4,
};
export const LARGE_DEPLOYMENT: Deployment = {
  entries: 124,
  endpoints: 42,
  concurrency: 8,
};

export const DEPLOYMENTS: readonly Deployment[] = [
  SMALL_DEPLOYMENT,
  MIDDLE_DEPLOYMENT,
  LARGE_DEPLOYMENT,
];

/** Creates a set at twice what its endpoints can process, and plays it for a while. */
export function createOverload(
  deployment: Deployment,
  delayMs: number,
): LargeSet {
  const set = createLargeSet({
    ...deployment,
    delayMs,
    leaderSilence: {kind: 'useFallbackCapacity'},
    serviceMs: SERVICE_MS,
    requestsPerSecond:
      (OVERLOAD * countCapacity(deployment) * 1_000) / SERVICE_MS,
  });
  set.runArrivals(RAMP_MS);
  return set;
}

function countCapacity({endpoints, concurrency}: Deployment): number {
  return endpoints * concurrency;
}

/** Plays on; returns the part of the capacity that is in use. */
export function measureUse(
  set: LargeSet,
  deployment: Deployment,
  samples: number,
): number {
  let running = 0;
  for (let sample = 0; sample < samples; sample += 1) {
    set.runArrivals(SAMPLE_MS);
    running += set.running;
  }
  return running / (samples * countCapacity(deployment));
}
