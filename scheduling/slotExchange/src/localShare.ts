import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {iterateRunning} from '@gentianshunt/entryModel';
import type {EntrySections, ListedEndpoint} from '@gentianshunt/entryModel';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** A report that was not answered for this long shows a leader in trouble. */
export const LEADER_SILENCE_MS: Milliseconds = 200;

/** The sections that the local share depends on. */
export type ShareSections = Pick<
  BoardView<EntrySections>,
  'control' | 'knownEndpoints' | 'exchanges' | 'running'
>;

/**
 * Tells whether the leader of a set does not answer. An entry that has no
 * leader to report to finds itself in the same place.
 */
export function isLeaderSilent(
  board: ShareSections,
  set: EndpointSetId,
  now: TurnTime,
): boolean {
  const exchange = board.exchanges.get(set);
  if (exchange === undefined) {
    return false;
  }
  const {inFlight, failures, urgency, sentAt} = exchange;
  const isAwaited = inFlight || failures > 0 || urgency === 'urgent';
  return isAwaited && now.monotonic - sentAt >= LEADER_SILENCE_MS;
}

/**
 * Lists the places that this entry may take without a leader: its equal part
 * of all places, at the endpoints where it runs least.
 */
export function listLocalPlaces(
  board: ShareSections,
  set: EndpointSetId,
): readonly ListedEndpoint[] {
  const endpoints = board.knownEndpoints.get(set)?.endpoints ?? [];
  const running = countRunning(board, set);
  const entries = Math.max(1, board.control.directory.entries.length);
  const total = endpoints.reduce((sum, {concurrency}) => sum + concurrency, 0);
  const taken = [...running.values()].reduce((sum, count) => sum + count, 0);
  const free = Math.ceil(total / entries) - taken;
  const loads = new Map(
    endpoints.map(({target: {endpoint}}) => [
      endpoint,
      running.get(endpoint) ?? 0,
    ]),
  );
  const places: ListedEndpoint[] = [];
  while (places.length < free) {
    const next = pickLeastLoaded(endpoints, loads);
    if (next === undefined) {
      return places;
    }
    const {endpoint} = next.target;
    loads.set(endpoint, loads.get(endpoint)! + 1);
    places.push(next);
  }
  return places;
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

function countRunning(
  board: ShareSections,
  set: EndpointSetId,
): ReadonlyMap<EndpointId, number> {
  const counts = new Map<EndpointId, number>();
  for (const {key, value} of iterateRunning(board.running, set)) {
    const known = counts.get(key.endpoint) ?? 0;
    counts.set(key.endpoint, known + value.count);
  }
  return counts;
}
