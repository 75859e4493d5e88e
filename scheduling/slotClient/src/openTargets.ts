/** Picks endpoints of sets that may be used without a slot. */
import type {BoardView, TurnTime} from '@gentianshunt/board';
import {canServe, iterateRunning} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EndpointTarget,
  EntrySections,
} from '@gentianshunt/entryModel';
import {hashText} from '@gentianshunt/hashing';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';
import {PROBE_FAILURE_RATE} from '@gentianshunt/policy';

import {listEndpointFailures} from './demandReport.js';
import {isPaused} from './pauseController.js';
import {isLimited} from './ungrantedUse.js';

/** The board sections that the use of open capacity depends on. */
export type OpenSections = Pick<
  BoardView<EntrySections>,
  | 'openCapacities'
  | 'withdrawnEndpoints'
  | 'endpointHealth'
  | 'running'
  | 'matches'
  | 'namedLimits'
  | 'pausedEndpoints'
>;

/** Number of endpoints of which the one with fewer own requests is picked. */
const CHOICES = 2;

/** The open capacity of a set, less what was taken so far. */
export interface OpenTargets {
  hasCapacity(): boolean;
  /** Takes capacity for a request; `undefined` if none may be used. */
  take(
    request: Pick<AdmittedRequest, 'id' | 'origin'>,
  ): EndpointTarget | undefined;
}

/** Creates the open capacity that is left of a set. */
export function createOpenTargets(
  board: OpenSections,
  set: EndpointSetId,
  now: TurnTime,
): OpenTargets {
  const open = board.openCapacities.get(set);
  if (open === undefined || open.until <= now.monotonic) {
    return {hasCapacity: () => false, take: () => undefined};
  }
  const failing = listFailing(board, set, now);
  const targets = open.targets.filter(
    ({endpoint}) =>
      !board.withdrawnEndpoints.has(endpoint) &&
      !isPaused(board, endpoint, now) &&
      !isLimited(board, endpoint, now) &&
      !failing.has(endpoint),
  );
  const counts = countRunning(board, set);
  let total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  // Matched requests are about to run.
  total += board.matches.size;
  const hasCapacity = (): boolean => total < open.limit && targets.length > 0;
  return {
    hasCapacity,
    take: request => {
      const usable = targets.filter(target => canServe(target, request));
      if (!hasCapacity() || usable.length === 0) {
        return undefined;
      }
      const key = `${request.id}/${now.monotonic}`;
      const target = pickTarget(usable, counts, key);
      const {endpoint} = target;
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
      total += 1;
      return target;
    },
  };
}

/**
 * Lists the endpoints that fail or refuse connections, by the calls of this
 * entry. The leader learns of them from the next demand report and decides which
 * entries try them again.
 */
export function listFailing(
  board: Pick<OpenSections, 'endpointHealth'>,
  set: EndpointSetId,
  now: TurnTime,
): ReadonlySet<EndpointId> {
  const failing = listEndpointFailures(board, set, now).filter(
    ({failureShare, isUnreachable}) =>
      isUnreachable || failureShare >= PROBE_FAILURE_RATE,
  );
  return new Set(failing.map(({endpoint}) => endpoint));
}

/** Picks the least used of a few endpoints drawn by a hash. */
function pickTarget(
  targets: readonly EndpointTarget[],
  counts: ReadonlyMap<EndpointId, number>,
  key: string,
): EndpointTarget {
  const readCount = ({endpoint}: EndpointTarget): number =>
    counts.get(endpoint) ?? 0;
  const first = hashText(key) % targets.length;
  const drawn = Array.from(
    {length: CHOICES},
    (_, index) => targets[(first + index) % targets.length]!,
  );
  return drawn.reduce((best, target) =>
    readCount(target) < readCount(best) ? target : best,
  );
}

/** Counts the own requests at each endpoint of a set. */
export function countRunning(
  board: Pick<OpenSections, 'running'>,
  set: EndpointSetId,
): Map<EndpointId, number> {
  const counts = new Map<EndpointId, number>();
  for (const {key, value} of iterateRunning(board.running, set)) {
    const known = counts.get(key.endpoint) ?? 0;
    counts.set(key.endpoint, known + value.count);
  }
  return counts;
}
