import type {TurnTime, View} from '@gentianshunt/board';
import {findObject, listObjects} from '@gentianshunt/configuration';
import {
  defineEntryController,
  iterateEndpoints,
  iterateFairShares,
  iterateSetEntries,
} from '@gentianshunt/entryModel';
import type {
  DemandReportRecord,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantsSinceReport,
} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  EndpointSetId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';

import {
  computeMedianRate,
  decideShedding,
  decideTrafficLevel,
  FAILING_RATE_FACTOR,
  limitConcurrency,
  limitCredit,
  PROBE_CONCURRENCY,
} from '@gentianshunt/policy';
import type {TrafficLevel} from '@gentianshunt/policy';
import {assertNever} from '@gentianshunt/errors';
import {limitQueues} from '@gentianshunt/limits';

import {allocateSlots, countOccupied} from './allocation.js';
import type {
  AllocationInput,
  AllocationResult,
  EndpointCapacity,
  FairShareState,
} from './allocation.js';
import {
  countUnserved,
  listOpenQueues,
  listWaitingOrganisations,
  mergeEndpointFailures,
  mergeRates,
} from './openDemand.js';
import {answerDemandReport, EMPTY_DECISION} from './grantReply.js';
import type {LeaderDecision} from './grantReply.js';
import {limitOrganisations} from './organisationLimits.js';
import {allocateAdvanceSlots} from './advanceSlots.js';

type GrantReads =
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'endpoints'
  | 'demandReports'
  | 'grantsSinceReport'
  | 'fairShares'
  | 'limitBuckets'
  | 'shedding';
type GrantWrites =
  'grantsSinceReport' | 'fairShares' | 'limitBuckets' | 'shedding';
type GrantView = View<EntrySections, GrantReads, EntryObservation>;
type GrantWrite = EntryWrite<GrantWrites>;

/**
 * Creates the controller that allocates the capacity of the led sets to the
 * reported demand and answers the demand reports.
 */
export function createGrantController(): EntryController {
  return defineEntryController<GrantReads, GrantWrites>({
    name: 'grants',
    reads: [
      'control',
      'configuration',
      'leaderships',
      'endpoints',
      'demandReports',
      'grantsSinceReport',
      'fairShares',
      'limitBuckets',
      'shedding',
    ],
    writes: ['grantsSinceReport', 'fairShares', 'limitBuckets', 'shedding'],
    observes: ['timerDue'],
    run: (view, now) =>
      [...listAffectedSets(view)].flatMap(set => grantSet(view, set, now)),
  });
}

function listAffectedSets(view: GrantView): ReadonlySet<EndpointSetId> {
  const sets = new Set<EndpointSetId>();
  for (const section of ['demandReports', 'endpoints'] as const) {
    for (const key of view.readChanges(section)) {
      sets.add((key as {set: EndpointSetId}).set);
    }
  }
  const {observation} = view;
  if (
    observation?.kind === 'timerDue' &&
    observation.timer.kind === 'housekeeping'
  ) {
    for (const set of view.board.leaderships.keys()) {
      sets.add(set);
    }
  }
  return sets;
}

function grantSet(
  view: GrantView,
  set: EndpointSetId,
  now: TurnTime,
): readonly GrantWrite[] {
  const leadership = view.board.leaderships.get(set);
  if (leadership === undefined) {
    return [];
  }
  const records = [...iterateSetEntries(view.board.demandReports, set)].map(
    entry => entry.value,
  );
  const grantedByNode = new Map(
    records.map(record => [record.node, readGranted(view, set, record)]),
  );
  const mayGrant =
    now.monotonic >= leadership.grantsFrom &&
    now.monotonic < view.board.control.leaseUntil;
  if (!mayGrant) {
    return records.flatMap(record =>
      answerDemandReport(
        view,
        leadership,
        record,
        grantedByNode,
        EMPTY_DECISION,
        now,
      ),
    );
  }
  const endpoints = listCapacities(view, set, records, grantedByNode);
  const limiter = limitOrganisations(view, {
    set,
    records,
    grantedByNode,
    now,
  });
  // An organisation's allowance is used up in this order, so higher tiers come
  // first within its limits, too.
  const openQueues = [...listOpenQueues(records, grantedByNode)].sort(
    (left, right) => left.queue.rank - right.queue.rank,
  );
  const queues = limitQueues(openQueues, limiter.allowances);
  const fairShares = listFairShares(view, set, records);
  const input: AllocationInput = {endpoints, queues, fairShares};
  const allocation = allocateWithAdvance(input, records, grantedByNode);
  const shedding = decideShedding({
    waiting: countUnserved(queues, allocation.slots),
    slots: endpoints.reduce((sum, {concurrency}) => sum + concurrency, 0),
    shedding: view.board.shedding.get(set) ?? false,
    lowestRank: readLowestRank(view),
  });
  const decision: LeaderDecision = {
    slots: allocation.slots,
    shed: shedding.shed,
  };
  return [
    ...records.flatMap(record =>
      answerDemandReport(
        view,
        leadership,
        record,
        grantedByNode,
        decision,
        now,
      ),
    ),
    ...allocation.fairShares.map(fairShare => putFairShare(set, fairShare)),
    ...limiter.listBucketWrites(allocation.slots),
    {kind: 'put', section: 'shedding', key: set, value: shedding.shedding},
  ];
}

function readLowestRank(view: GrantView): number {
  const tiers = listObjects(view.board.configuration, 'tier');
  return Math.max(0, ...tiers.map(tier => tier.rank));
}

/**
 * Allocates slots to the waiting requests. If all of them get one, entries
 * whose report was not answered yet get advance slots as well.
 */
function allocateWithAdvance(
  input: AllocationInput,
  records: readonly DemandReportRecord[],
  grantedByNode: ReadonlyMap<NodeId, GrantsSinceReport>,
): AllocationResult {
  const result = allocateSlots(input);
  const waiting = input.queues.reduce((sum, {queue}) => sum + queue.count, 0);
  if (result.slots.length < waiting) {
    return result;
  }
  const advanceSlots = allocateAdvanceSlots({
    endpoints: input.endpoints,
    records,
    isUnanswered: node => grantedByNode.get(node)!.parts === 0,
    allocated: result.slots,
  });
  return {...result, slots: [...result.slots, ...advanceSlots]};
}

function putFairShare(
  set: EndpointSetId,
  fairShare: FairShareState,
): GrantWrite {
  const {organisation, virtualTime} = fairShare;
  return {
    kind: 'put',
    section: 'fairShares',
    key: {set, organisation},
    value: virtualTime,
  };
}

/** Reads what was granted since the recorded report; nothing for a new one. */
function readGranted(
  view: GrantView,
  set: EndpointSetId,
  record: DemandReportRecord,
): GrantsSinceReport {
  const {node, report} = record;
  const known = view.board.grantsSinceReport.get({set, node});
  if (known !== undefined && known.sequence === report.sequence) {
    return known;
  }
  return {
    set,
    node,
    sequence: report.sequence,
    parts: 0,
    slots: [],
    shed: [],
  };
}

function listCapacities(
  view: GrantView,
  set: EndpointSetId,
  records: readonly DemandReportRecord[],
  grantedByNode: ReadonlyMap<NodeId, GrantsSinceReport>,
): readonly EndpointCapacity[] {
  const occupied = countOccupied([
    ...records.flatMap(record => record.report.running),
    ...records.flatMap(record => record.report.unspent),
    ...[...grantedByNode.values()].flatMap(granted => granted.slots),
  ]);
  const rates = mergeRates(records);
  const medianRate = computeMedianRate([...rates.values()]);
  const failures = mergeEndpointFailures(records);
  return [...iterateEndpoints(view.board.endpoints, set)]
    .filter(
      ({key, value}) =>
        value.state === 'active' && !isDraining(view, key.endpoint),
    )
    .map(({value: {announcement}}) => {
      const {endpoint, url, concurrency} = announcement;
      const rate = rates.get(endpoint) ?? medianRate;
      const trafficLevel = decideTrafficLevel(failures.get(endpoint));
      const usable = limitConcurrency(concurrency, rate, medianRate);
      return {
        target: {endpoint, url},
        concurrency: limitByTrafficLevel(usable, trafficLevel),
        rate: trafficLevel === 'full' ? rate : rate * FAILING_RATE_FACTOR,
        occupied: occupied.get(endpoint) ?? 0,
      };
    });
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

function isDraining(view: GrantView, endpoint: EndpointId): boolean {
  const policy = findObject(
    view.board.configuration,
    'endpointPolicy',
    endpoint,
  );
  return policy?.state === 'draining';
}

/**
 * Lists the fair shares of the organisations with waiting requests. The credit
 * that an organisation gains while it is idle is limited.
 */
function listFairShares(
  view: GrantView,
  set: EndpointSetId,
  records: readonly DemandReportRecord[],
): readonly FairShareState[] {
  const known = [...iterateFairShares(view.board.fairShares, set)];
  const maxVirtualTime = Math.max(0, ...known.map(({value}) => value));
  return [...listWaitingOrganisations(records)].map(organisation => ({
    organisation,
    weight: readWeight(view, organisation),
    virtualTime: limitCredit(
      view.board.fairShares.get({set, organisation}) ?? maxVirtualTime,
      maxVirtualTime,
    ),
  }));
}

function readWeight(view: GrantView, organisation: OrganisationId): number {
  const object = findObject(
    view.board.configuration,
    'organisation',
    organisation,
  );
  return object?.weight ?? 1;
}
