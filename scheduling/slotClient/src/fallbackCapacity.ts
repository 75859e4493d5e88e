import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {EntrySections, ListedEndpoint} from '@gentianshunt/entryModel';
import {isBrittle} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

import {computeUngrantedShare} from '@gentianshunt/policy';

import {countRunning} from './openTargets.js';
import {isPaused} from './pauseController.js';
import {refillUngrantedUse} from './ungrantedUse.js';

/** A leader that has not answered a report for this long counts as silent. */
export const LEADER_SILENCE_MS: Milliseconds = 200;

/** The board sections that the fallback capacity depends on. */
export type FallbackSections = Pick<
  BoardView<EntrySections>,
  | 'identity'
  | 'control'
  | 'knownEndpoints'
  | 'withdrawnEndpoints'
  | 'demandReporting'
  | 'running'
  | 'namedLimits'
  | 'ungrantedUse'
  | 'pausedEndpoints'
>;

/**
 * Returns whether the leader of a set is silent. A set without a leader to
 * report to, and a leader that replies that it can grant nothing, are treated in
 * the same way.
 */
export function isLeaderSilent(
  board: FallbackSections,
  set: EndpointSetId,
  now: TurnTime,
): boolean {
  const state = board.demandReporting.get(set);
  if (state === undefined) {
    return false;
  }
  const {inFlight, failures, urgency, sentAt, obstructedSince} = state;
  if (
    obstructedSince !== null &&
    now.monotonic - obstructedSince >= LEADER_SILENCE_MS
  ) {
    return true;
  }
  const isAwaited = inFlight || failures > 0 || urgency === 'urgent';
  return isAwaited && now.monotonic - sentAt >= LEADER_SILENCE_MS;
}

/**
 * Lists the capacity that this entry may use while the set leader is silent:
 * an equal fraction of the set's capacity, less what the entry already runs.
 * Each item stands for one request. The endpoints least loaded by this entry
 * come first.
 */
export function listFallbackCapacity(
  board: FallbackSections,
  set: EndpointSetId,
  now: TurnTime,
): readonly ListedEndpoint[] {
  const running = countRunning(board, set);
  const endpoints = listUsable(board, set, now).map(listed =>
    limitToUngrantedUse(board, listed, running, now),
  );
  const entries = Math.max(1, board.control.directory.entries.length);
  const totalCapacity = endpoints.reduce(
    (sum, {concurrency}) => sum + concurrency,
    0,
  );
  const runningCount = [...running.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
  const free = Math.ceil(totalCapacity / entries) - runningCount;
  const loads = new Map(
    endpoints.map(({target: {endpoint}}) => [
      endpoint,
      running.get(endpoint) ?? 0,
    ]),
  );
  const selected: ListedEndpoint[] = [];
  while (selected.length < free) {
    const next = pickLeastLoaded(endpoints, loads);
    if (next === undefined) {
      return selected;
    }
    const {endpoint} = next.target;
    loads.set(endpoint, loads.get(endpoint)! + 1);
    selected.push(next);
  }
  return selected;
}

/**
 * Lists the endpoints that have not left, in an order that differs from entry to
 * entry, so that the entries do not all use the same few.
 */
function listUsable(
  board: FallbackSections,
  set: EndpointSetId,
  now: TurnTime,
): readonly ListedEndpoint[] {
  const {identity, knownEndpoints, withdrawnEndpoints} = board;
  const {node} = identity.address;
  const listed = knownEndpoints.get(set)?.endpoints ?? [];
  return listed
    .filter(
      ({target: {endpoint}}) =>
        !withdrawnEndpoints.has(endpoint) && !isPaused(board, endpoint, now),
    )
    .map(item => ({
      item,
      position: hashToFraction(`${node}/${item.target.endpoint}`),
    }))
    .sort((left, right) => left.position - right.position)
    .map(({item}) => item);
}

/** Limits an endpoint that named a rate to what this entry may use of it. */
function limitToUngrantedUse(
  board: FallbackSections,
  listed: ListedEndpoint,
  running: ReadonlyMap<EndpointId, number>,
  now: TurnTime,
): ListedEndpoint {
  const {endpoint} = listed.target;
  const bucket = refillUngrantedUse(board, endpoint, now);
  if (bucket === undefined) {
    return isBrittle(board.namedLimits.get(endpoint))
      ? limitToShare(board, listed)
      : listed;
  }
  const most = (running.get(endpoint) ?? 0) + Math.floor(bucket.tokens);
  return {...listed, concurrency: Math.min(listed.concurrency, most)};
}

/** Limits a brittle endpoint to a share that all entries may use at once. */
function limitToShare(
  {identity, control}: FallbackSections,
  {target, concurrency}: ListedEndpoint,
): ListedEndpoint {
  const entries = Math.max(1, control.directory.entries.length);
  const position = hashToFraction(
    `${target.endpoint}/${identity.address.node}`,
  );
  const share = computeUngrantedShare(concurrency, entries, position);
  return {target, concurrency: share};
}

function pickLeastLoaded(
  endpoints: readonly ListedEndpoint[],
  loads: ReadonlyMap<EndpointId, number>,
): ListedEndpoint | undefined {
  let best: ListedEndpoint | undefined;
  let bestLoad = 1;
  for (const listed of endpoints) {
    const load = loads.get(listed.target.endpoint)! / listed.concurrency;
    if (load < bestLoad) {
      best = listed;
      bestLoad = load;
    }
  }
  return best;
}
