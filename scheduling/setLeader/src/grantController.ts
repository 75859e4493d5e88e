import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import {findObject, isModelSet, listObjects} from '@gentianshunt/configuration';
import {
  defineEntryController,
  iterateSetEntries,
} from '@gentianshunt/entryModel';
import type {
  DemandReportRecord,
  EntryController,
  GrantObstacle,
  GrantsSinceReport,
  LeadershipState,
  SlotOccupancy,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import {limitQueues} from '@gentianshunt/limits';
import {decideShedding} from '@gentianshunt/policy';

import {allocateAdvanceSlots} from './advanceSlots.js';
import {allocateSlots} from './allocation.js';
import type {
  AllocationInput,
  AllocationResult,
  EndpointCapacity,
} from './allocation.js';
import {planRounds, recordRound} from './allocationRounds.js';
import {listCapacities} from './capacities.js';
import {listFairShares, putFairShare} from './fairShares.js';
import {findHoldCause, recordHold} from './grantHolds.js';
import {
  answerDemandReport,
  createEmptyDecision,
  mergeByNode,
} from './grantReply.js';
import type {LeaderDecision} from './grantReply.js';
import {GRANT_READS, GRANT_WRITES} from './grantView.js';
import type {
  GrantReads,
  GrantView,
  GrantWrite,
  GrantWrites,
} from './grantView.js';
import {limitCapacities} from './limitedCapacities.js';
import {decideOpenCapacity} from './openCapacity.js';
import {countUnserved, findWaitingRank, listOpenQueues} from './openDemand.js';
import {limitOrganisations} from './organisationLimits.js';
import {addQueueAhead, measureTurnaround} from './queueAhead.js';
import {countWaiting, sumConcurrency, sumRunning} from './setSums.js';
import {addTransitSlots, updateOccupancy} from './slotOccupancy.js';

/**
 * Creates the controller that allocates the capacity of the led sets to the
 * reported demand and answers the demand reports.
 */
export function createGrantController(): EntryController {
  return defineEntryController<GrantReads, GrantWrites>({
    name: 'grants',
    reads: GRANT_READS,
    writes: GRANT_WRITES,
    observes: ['timerDue'],
    run: (view, now) => {
      const plan = planRounds(view, now);
      return [
        ...plan.due.flatMap(set => grantSet(view, set, now)),
        ...plan.writes,
        ...dropHolds(view),
      ];
    },
  });
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
  // An organisation's allowance is used up in this order, so higher tiers come
  // first within its limits, too.
  const openQueues = [...listOpenQueues(records, grantedByNode)].sort(
    (left, right) => left.queue.rank - right.queue.rank,
  );
  const waiting = countWaiting(openQueues);
  const answerAll = (decision: LeaderDecision): readonly GrantWrite[] =>
    records.flatMap(record =>
      answerDemandReport(
        view,
        leadership,
        record,
        grantedByNode,
        decision,
        now,
      ),
    );
  const obstacle = findObstacle(view, leadership, now);
  if (obstacle !== null) {
    const cause = waiting === 0 ? null : obstacle;
    const entries = records.length;
    const outcome = {cause, waiting, entries, capacities: []};
    return [
      recordRound(set, records.length, now),
      ...recordHold(view, leadership, outcome, now),
      ...answerAll(createEmptyDecision(obstacle)),
    ];
  }
  const known = listCapacities(view, set, records, grantedByNode, now);
  const capacities = limitCapacities(view, known, now);
  const {endpoints, advanceEndpoints} = capacities;
  const limiter = limitOrganisations(view, {
    set,
    records,
    grantedByNode,
    now,
  });
  const queues = limitQueues(openQueues, limiter.allowances);
  const fairShares = listFairShares(view, set, records);
  const running = sumRunning(records);
  const canOpen = isOpenable(view, set);
  const occupancy = canOpen
    ? updateOccupancy(
        view.board.slotOccupancies.get(set),
        {capacities: known, records, running},
        now,
      )
    : undefined;
  const usable =
    occupancy === undefined ? endpoints : addTransitSlots(endpoints, occupancy);
  const input: AllocationInput = {
    endpoints: canQueueAhead(view, set)
      ? addQueueAhead(usable, queues, measureTurnaround(records))
      : usable,
    queues,
    fairShares,
  };
  const open = canOpen
    ? decideOpenCapacity({
        endpoints: capacities.unlimited,
        running,
        entries: records.length,
      })
    : null;
  // An open set needs no advance slots.
  const allocation =
    open === null
      ? allocateWithAdvance(input, advanceEndpoints, records, grantedByNode)
      : allocateSlots(input);
  const unserved = countUnserved(queues, allocation.slots);
  const shedding = decideShedding({
    waiting: unserved,
    slots: sumConcurrency(usable),
    shedding: view.board.shedding.get(set) ?? false,
    lowestRank: readLowestRank(view),
  });
  const decision: LeaderDecision = {
    slots: mergeByNode(allocation.slots),
    shed: shedding.shed,
    open,
    // Without endpoints nothing is used up: it is not known what there is.
    waitingRank: known.length === 0 ? null : findWaitingRank(unserved),
    obstacle: known.length === 0 ? 'noEndpoints' : null,
  };
  const outcome = {
    cause:
      allocation.slots.length > 0
        ? null
        : findHoldCause({
            openQueues,
            queues,
            capacities: known,
            limited: endpoints,
          }),
    waiting,
    entries: records.length,
    capacities: known,
  };
  return [
    recordRound(set, records.length + endpoints.length, now),
    ...recordHold(view, leadership, outcome, now),
    ...(occupancy === undefined ? [] : [putOccupancy(set, occupancy)]),
    ...answerAll(decision),
    ...allocation.fairShares.map(fairShare => putFairShare(set, fairShare)),
    ...limiter.listBucketWrites(allocation.slots),
    ...capacities.listBucketWrites(allocation.slots),
    {kind: 'put', section: 'shedding', key: set, value: shedding.shedding},
  ];
}

/** Finds what keeps this entry from granting anything; `null` if nothing does. */
function findObstacle(
  {board}: GrantView,
  {grantsFrom}: LeadershipState,
  now: TurnTime,
): GrantObstacle | null {
  if (!isLeaseValid(board.control.lease, now)) {
    return 'noLease';
  }
  return now.monotonic < grantsFrom ? 'collectingReports' : null;
}

/** Deletes what is recorded of sets that this entry leads no more. */
function dropHolds(view: GrantView): readonly GrantWrite[] {
  const {leaderships, grantHolds} = view.board;
  return [...grantHolds.keys()]
    .filter(set => !leaderships.has(set))
    .map(key => ({kind: 'delete', section: 'grantHolds', key}));
}

/**
 * Returns whether a set may be used without slots. Which of the unlike model
 * engines serves a request matters too much for that, and endpoints that do not
 * queue must not get more requests than they run.
 */
function isOpenable({board}: GrantView, set: EndpointSetId): boolean {
  const {configuration, identity} = board;
  return (
    identity.leaderSilence?.kind === 'useFallbackCapacity' &&
    findObject(configuration, 'endpointSet', set)?.service.kind === 'plain'
  );
}

/**
 * Returns whether the endpoints of a set are model engines that queue the requests
 * that they cannot run yet.
 */
function canQueueAhead({board}: GrantView, set: EndpointSetId): boolean {
  const {configuration, identity} = board;
  return (
    identity.leaderSilence?.kind === 'useFallbackCapacity' &&
    isModelSet(configuration, set)
  );
}

function putOccupancy(key: EndpointSetId, value: SlotOccupancy): GrantWrite {
  return {kind: 'put', section: 'slotOccupancies', key, value};
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
  advanceEndpoints: readonly EndpointCapacity[],
  records: readonly DemandReportRecord[],
  grantedByNode: ReadonlyMap<NodeId, GrantsSinceReport>,
): AllocationResult {
  const result = allocateSlots(input);
  if (result.slots.length < countWaiting(input.queues)) {
    return result;
  }
  const advanceSlots = allocateAdvanceSlots({
    endpoints: advanceEndpoints,
    records,
    isUnanswered: node => grantedByNode.get(node)!.parts === 0,
    allocated: result.slots,
  });
  return {...result, slots: [...result.slots, ...advanceSlots]};
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
