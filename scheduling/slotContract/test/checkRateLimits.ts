import t from 'tap';

import {createLimitedSet} from './limitedSet.js';
import type {LimitedSet} from './limitedSet.js';

/** The size of a set and its load. */
export interface RateLimitSize {
  readonly entries: number;
  readonly endpoints: number;
  readonly concurrency: number;
  readonly requestsPerSecond: number;
}

/** A deployment with many entries. */
export const LARGE_SIZE: RateLimitSize = {
  entries: 200,
  endpoints: 41,
  concurrency: 5,
  requestsPerSecond: 200,
};

export const CONTACT_MS = 3_000;
export const WINDOW_MS = 4_000;
/** Time after which an entry must act on a limit that it received. */
const TOLD_MS = 500;
const OVERAGE = 1.5;
export const SLACK_REQUESTS = 5;
export const WARM_UP_MS = 3_000;
export const DAY_MS = 15_000;

/**
 * Finds the most requests that reached an endpoint within a window, from entries
 * that had received an answer with its limit in time.
 */
function findBusiestWindow(
  {arrived, toldAt}: LimitedSet,
  endpoint: number,
  from: number,
): number {
  const times = arrived
    .filter(({at, node, endpoint: reached}) => {
      const told = toldAt.get(`${node}/${reached}`) ?? Number.POSITIVE_INFINITY;
      return reached === endpoint && at >= Math.max(from, told + TOLD_MS);
    })
    .map(({at}) => at);
  let first = 0;
  let most = 0;
  times.forEach((at, index) => {
    while (times[first]! <= at - WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Lists the endpoints that got more in a window than their limit allows. */
export function listExceeded(set: LimitedSet, from: number): readonly string[] {
  return [...set.limits].flatMap(([endpoint, limit]) => {
    const allowed = OVERAGE * limit * (WINDOW_MS / 1_000) + SLACK_REQUESTS;
    const most = findBusiestWindow(set, endpoint, from);
    return most > allowed ? [`${endpoint}: ${most} of ${allowed}`] : [];
  });
}

export function countArrived(
  set: LimitedSet,
  endpoint: number,
  from: number,
): number {
  return set.arrived.filter(
    arrival => arrival.endpoint === endpoint && arrival.at >= from,
  ).length;
}

/** Checks that the endpoints of a set of some size get what they take. */
export function checkRateLimits(size: RateLimitSize): void {
  for (const serviceMs of [20, 600]) {
    t.test(
      `endpoints get no more requests than they take: ${size.entries} entries, ${serviceMs} ms`,
      async t => {
        const set = createLimitedSet({...size, serviceMs});
        set.runArrivals(WARM_UP_MS);
        for (let endpoint = 0; endpoint < size.endpoints / 3; endpoint += 1) {
          set.limits.set(endpoint, 1 + (endpoint % 3));
        }
        const namedAt = set.entries.time.clock.readMonotonic();
        set.runArrivals(DAY_MS);
        t.same(listExceeded(set, namedAt + CONTACT_MS), []);
        // Short requests find capacity elsewhere.
        const isNeeded = serviceMs > 20;
        const used = countArrived(set, 2, namedAt + CONTACT_MS);
        const expected = 0.5 * 3 * ((DAY_MS - CONTACT_MS) / 1_000);
        t.ok(!isNeeded || used >= expected, `${used} used`);
      },
    );
  }
}

/** Checks that limits hold for what is sent without a grant. */
export function checkUngrantedLimits(size: RateLimitSize): void {
  t.test(
    'a limit holds while the set has no leader, and for the next one',
    async t => {
      const set = createLimitedSet({...size, serviceMs: 600});
      set.runArrivals(WARM_UP_MS);
      for (let endpoint = 0; endpoint < size.endpoints; endpoint += 1) {
        set.limits.set(endpoint, 3);
      }
      const namedAt = set.entries.time.clock.readMonotonic();
      set.runArrivals(CONTACT_MS);
      set.entries.find('entry-0').freeze();
      set.runArrivals(WINDOW_MS);
      set.moveLeader('entry-1');
      set.runArrivals(DAY_MS);
      t.same(listExceeded(set, namedAt + CONTACT_MS), [], `${size.entries}`);
    },
  );

  t.test('a limit of an open set holds for all entries together', async t => {
    const set = createLimitedSet({
      ...size,
      requestsPerSecond: size.requestsPerSecond / 2,
      serviceMs: 20,
      service: 'plain',
    });
    set.runArrivals(WARM_UP_MS);
    set.limits.set(0, 2);
    set.limits.set(1, 0.5);
    const namedAt = set.entries.time.clock.readMonotonic();
    set.runArrivals(DAY_MS);
    t.same(listExceeded(set, namedAt + CONTACT_MS), [], `${size.entries}`);
  });
}
