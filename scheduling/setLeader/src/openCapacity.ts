/**
 * Decides when the entries may use a set without asking its leader: a plain
 * service that is lightly used, so that a request would wait longer for the
 * permission than for the endpoint. It answers the load of many entries with
 * few short requests each.
 */
import type {Milliseconds} from '@gentianshunt/clock';
import type {OpenCapacity} from '@gentianshunt/entryModel';
import {hashText} from '@gentianshunt/hashing';
import type {NodeId} from '@gentianshunt/identifiers';

import type {EndpointCapacity} from './allocation.js';
import {sumConcurrency} from './setSums.js';

/** Highest fraction of the capacity in use at which a set is open. */
export const OPEN_MAX_LOAD = 0.5;
/** Fewest requests that an entry may run in an open set. */
export const MIN_OPEN_LIMIT = 2;
/** Most endpoints of an open set that one entry uses. */
export const MAX_OPEN_TARGETS = 16;
/**
 * Time that each entry of an open set adds to the interval between the demand
 * reports of one, so that the leader gets at most 200 of them a second.
 */
export const OPEN_REPORT_INTERVAL_PER_ENTRY_MS: Milliseconds = 5;

/** The state of a set, as its leader knows it. */
export interface SetLoad {
  readonly endpoints: readonly EndpointCapacity[];
  /** Mean number of requests that run. */
  readonly running: number;
  /** Number of entries that report demand. */
  readonly entries: number;
}

/** Decides what each entry may use without asking; `null` if nothing. */
export function decideOpenCapacity(load: SetLoad): OpenCapacity | null {
  const {endpoints, running, entries} = load;
  const total = sumConcurrency(endpoints);
  const free = OPEN_MAX_LOAD * total - running;
  // What runs at one endpoint now is not known: the reports are too old.
  const usable = endpoints.filter(({concurrency}) => concurrency > 0);
  if (free <= 0 || usable.length === 0) {
    return null;
  }
  return {
    targets: usable.map(({target}) => target),
    limit: Math.max(MIN_OPEN_LIMIT, Math.ceil(free / Math.max(1, entries))),
    reportIntervalMs: OPEN_REPORT_INTERVAL_PER_ENTRY_MS * entries,
  };
}

/**
 * Limits open capacity to the endpoints that one entry uses. They differ from
 * entry to entry, so that all endpoints are used alike.
 */
export function limitOpenTargets(
  open: OpenCapacity,
  node: NodeId,
): OpenCapacity {
  const {targets} = open;
  if (targets.length <= MAX_OPEN_TARGETS) {
    return open;
  }
  const first = hashText(node) % targets.length;
  const own = Array.from(
    {length: MAX_OPEN_TARGETS},
    (_, index) => targets[(first + index) % targets.length]!,
  );
  return {...open, targets: own};
}
