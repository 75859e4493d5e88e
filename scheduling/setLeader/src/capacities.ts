/** Computes how much capacity of each endpoint of a set can be allocated. */
import type {TurnTime, View} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import {iterateEndpoints, toEndpointTarget} from '@gentianshunt/entryModel';
import type {
  DemandReportRecord,
  EntryObservation,
  EntrySections,
  GrantsSinceReport,
  ListedEndpoint,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  EndpointId,
  EndpointSetId,
  NodeId,
} from '@gentianshunt/identifiers';
import {
  computeMedianRate,
  computeRate,
  decideTrafficLevel,
  FAILING_RATE_FACTOR,
  limitConcurrency,
  PROBE_CONCURRENCY,
} from '@gentianshunt/policy';
import type {TrafficLevel} from '@gentianshunt/policy';

import {countOccupied} from './allocation.js';
import type {EndpointCapacity} from './allocation.js';
import {listInherited} from './inheritedEndpoints.js';
import {mergeEndpointFailures, mergeRates} from './openDemand.js';
import {sumConcurrency, sumRunning} from './setSums.js';

/** Fewest requests of this entry from which their duration is known. */
const MIN_KNOWN_PER_SECOND = 0.5;

type CapacityView = View<
  EntrySections,
  | 'identity'
  | 'configuration'
  | 'endpoints'
  | 'inheritedEndpoints'
  | 'withdrawnEndpoints'
  | 'dispatchRates',
  EntryObservation
>;

/** Lists the capacity of the active endpoints and how much is occupied. */
export function listCapacities(
  view: CapacityView,
  set: EndpointSetId,
  records: readonly DemandReportRecord[],
  grantedByNode: ReadonlyMap<NodeId, GrantsSinceReport>,
  now: TurnTime,
): readonly EndpointCapacity[] {
  const occupied = countOccupied([
    ...records.flatMap(record => record.report.running),
    ...records.flatMap(record => record.report.unspent),
    ...[...grantedByNode.values()].flatMap(granted => granted.slots),
  ]);
  const rates = mergeRates(records);
  const medianRate = computeMedianRate([...rates.values()]);
  const usable = listUsable(view, set);
  const failures = mergeEndpointFailures(records, usable.length);
  const total = sumConcurrency(usable);
  const setPerSecond = estimateRequests(view, set, records, now);
  return usable.map(({target, concurrency}) => {
    const {endpoint} = target;
    const requestsPerSecond = (setPerSecond * concurrency) / total;
    const rate = rates.get(endpoint) ?? medianRate;
    const trafficLevel = decideTrafficLevel(failures.get(endpoint), {
      requestsPerSecond,
      entries: records.length,
    });
    const allowed = limitConcurrency(concurrency, rate, medianRate);
    return {
      target,
      concurrency: limitByTrafficLevel(allowed, trafficLevel),
      rate: trafficLevel === 'full' ? rate : rate * FAILING_RATE_FACTOR,
      occupied: occupied.get(endpoint) ?? 0,
      canQueue: allowed === concurrency && trafficLevel === 'full',
    };
  });
}

/**
 * Estimates how many requests a second the endpoints of a set get: from what runs
 * at all entries, and from how long the requests of this entry run. Returns 0 if
 * this entry has sent too few.
 */
function estimateRequests(
  {board}: CapacityView,
  set: EndpointSetId,
  records: readonly DemandReportRecord[],
  now: TurnTime,
): number {
  const own = records.find(({node}) => node === board.identity.address.node);
  const ownPerSecond = computeRate(board.dispatchRates.get(set), now);
  const ownRunning = own?.report.meanRunning ?? 0;
  if (ownPerSecond < MIN_KNOWN_PER_SECOND || ownRunning <= 0) {
    return 0;
  }
  return (sumRunning(records) * ownPerSecond) / ownRunning;
}

/** Lists the endpoints that accept requests by all that this entry knows. */
function listUsable(
  view: CapacityView,
  set: EndpointSetId,
): readonly ListedEndpoint[] {
  const announced = [...iterateEndpoints(view.board.endpoints, set)]
    .filter(({value}) => value.state === 'active')
    .map(({value: {announcement}}) => ({
      target: toEndpointTarget(announcement),
      concurrency: announcement.concurrency,
    }));
  return [...announced, ...listInherited(view.board, set)].filter(
    ({target}) => !isDraining(view, target.endpoint),
  );
}

/** Limits the capacity used at an endpoint to its traffic level. */
function limitByTrafficLevel(
  concurrency: number,
  trafficLevel: TrafficLevel,
): number {
  switch (trafficLevel) {
    case 'full':
      return concurrency;
    case 'probe':
      return Math.min(PROBE_CONCURRENCY, concurrency);
    case 'none':
      return 0;
    default:
      return assertNever(trafficLevel, 'limitByTrafficLevel');
  }
}

function isDraining(view: CapacityView, endpoint: EndpointId): boolean {
  const policy = findObject(
    view.board.configuration,
    'endpointPolicy',
    endpoint,
  );
  return policy?.state === 'draining';
}
