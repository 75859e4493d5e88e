import type {TurnTime, View} from '@gentianshunt/board';
import {findObject, listObjects} from '@gentianshunt/configuration';
import {
  defineEntryController,
  iterateEndpoints,
  iterateReports,
  iterateShares,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantedSince,
  ReportRecord,
} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  EndpointSetId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';

import {
  decideShedding,
  decideTrust,
  limitConcurrency,
  limitCredit,
  PROBE_CONCURRENCY,
  readMiddleRate,
  TROUBLED_RATE_FACTOR,
} from '@gentianshunt/policy';
import type {EndpointTrust} from '@gentianshunt/policy';
import {assertNever} from '@gentianshunt/errors';
import {limitLines} from '@gentianshunt/limits';

import {allocateSlots, countOccupied} from './allocation.js';
import type {
  AllocationInput,
  AllocationResult,
  EndpointCapacity,
  ShareState,
} from './allocation.js';
import {
  countLeft,
  listOpenLines,
  listWaitingOrganisations,
  mergeRates,
  mergeTroubles,
} from './openLines.js';
import {NOTHING_DECIDED, replyTo} from './grantReply.js';
import type {Decided} from './grantReply.js';
import {limitOrganisations} from './organisationLimits.js';
import {allocateStanding} from './standingSlots.js';

type GrantReads =
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'endpoints'
  | 'reports'
  | 'granted'
  | 'shares'
  | 'limitBuckets'
  | 'shedding';
type GrantWrites = 'granted' | 'shares' | 'limitBuckets' | 'shedding';
type GrantView = View<EntrySections, GrantReads, EntryObservation>;
type GrantWrite = EntryWrite<GrantWrites>;

/** Creates the controller that grants the slots of the led sets. */
export function createGrantController(): EntryController {
  return defineEntryController<GrantReads, GrantWrites>({
    name: 'grants',
    reads: [
      'control',
      'configuration',
      'leaderships',
      'endpoints',
      'reports',
      'granted',
      'shares',
      'limitBuckets',
      'shedding',
    ],
    writes: ['granted', 'shares', 'limitBuckets', 'shedding'],
    observes: ['timerDue'],
    run: (view, now) =>
      [...listAffectedSets(view)].flatMap(set => grantSet(view, set, now)),
  });
}

function listAffectedSets(view: GrantView): ReadonlySet<EndpointSetId> {
  const sets = new Set<EndpointSetId>();
  for (const section of ['reports', 'endpoints'] as const) {
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
  const records = [...iterateReports(view.board.reports, set)].map(
    entry => entry.value,
  );
  const before = new Map(
    records.map(record => [record.node, readGranted(view, set, record)]),
  );
  const mayGrant =
    now.monotonic >= leadership.grantsFrom &&
    now.monotonic < view.board.control.leaseUntil;
  if (!mayGrant) {
    return records.flatMap(record =>
      replyTo(view, leadership, record, before, NOTHING_DECIDED, now),
    );
  }
  const endpoints = listCapacities(view, set, records, before);
  const limited = limitOrganisations(view, {set, records, before, now});
  // Within an organisation's limits, too, higher tiers come first.
  const open = [...listOpenLines(records, before)].sort(
    (left, right) => left.line.rank - right.line.rank,
  );
  const lines = limitLines(open, limited.allowances);
  const shares = listShares(view, set, records);
  const input = {endpoints, lines, shares};
  const allocation = allocateWithStanding(input, records, before);
  const shedding = decideShedding({
    waiting: countLeft(lines, allocation.slots),
    slots: endpoints.reduce((sum, {concurrency}) => sum + concurrency, 0),
    shedding: view.board.shedding.get(set) ?? false,
    lowestRank: readLowestRank(view),
  });
  const decided: Decided = {slots: allocation.slots, shed: shedding.shed};
  return [
    ...records.flatMap(record =>
      replyTo(view, leadership, record, before, decided, now),
    ),
    ...allocation.shares.map(share => putShare(set, share)),
    ...limited.listBucketWrites(allocation.slots),
    {kind: 'put', section: 'shedding', key: set, value: shedding.shedding},
  ];
}

function readLowestRank(view: GrantView): number {
  const tiers = listObjects(view.board.configuration, 'tier');
  return Math.max(0, ...tiers.map(tier => tier.rank));
}

/** Slots ahead of demand go to entries whose report was not yet answered. */
function allocateWithStanding(
  input: AllocationInput,
  records: readonly ReportRecord[],
  before: ReadonlyMap<NodeId, GrantedSince>,
): AllocationResult {
  const result = allocateSlots(input);
  const waiting = input.lines.reduce((sum, {line}) => sum + line.count, 0);
  if (result.slots.length < waiting) {
    return result;
  }
  const standing = allocateStanding({
    endpoints: input.endpoints,
    records,
    canTake: node => before.get(node)!.parts === 0,
    allocated: result.slots,
  });
  return {...result, slots: [...result.slots, ...standing]};
}

function putShare(set: EndpointSetId, share: ShareState): GrantWrite {
  const {organisation, virtualTime} = share;
  return {
    kind: 'put',
    section: 'shares',
    key: {set, organisation},
    value: virtualTime,
  };
}

/** What was granted against the record's report; nothing for a new report. */
function readGranted(
  view: GrantView,
  set: EndpointSetId,
  record: ReportRecord,
): GrantedSince {
  const {node, report} = record;
  const known = view.board.granted.get({set, node});
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
  records: readonly ReportRecord[],
  granted: ReadonlyMap<NodeId, GrantedSince>,
): readonly EndpointCapacity[] {
  const occupied = countOccupied([
    ...records.flatMap(record => record.report.running),
    ...records.flatMap(record => record.report.unspent),
    ...[...granted.values()].flatMap(since => since.slots),
  ]);
  const rates = mergeRates(records);
  const middle = readMiddleRate([...rates.values()]);
  const troubles = mergeTroubles(records);
  return [...iterateEndpoints(view.board.endpoints, set)]
    .filter(
      ({key, value}) =>
        value.state === 'active' && !isDraining(view, key.endpoint),
    )
    .map(({value: {announcement}}) => {
      const {endpoint, url, concurrency} = announcement;
      const rate = rates.get(endpoint) ?? middle;
      const trust = decideTrust(troubles.get(endpoint));
      const useful = limitConcurrency(concurrency, rate, middle);
      return {
        target: {endpoint, url},
        concurrency: limitByTrust(useful, trust),
        rate: trust === 'full' ? rate : rate * TROUBLED_RATE_FACTOR,
        occupied: occupied.get(endpoint) ?? 0,
      };
    });
}

/** Places of an endpoint that may be used, as far as it is trusted. */
function limitByTrust(concurrency: number, trust: EndpointTrust): number {
  switch (trust) {
    case 'full':
      return concurrency;
    case 'probe':
      return Math.min(PROBE_CONCURRENCY, concurrency);
    case 'none':
      return 0;
    default:
      return assertNever(trust, 'limitByTrust');
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

/** An organisation that was idle has a limited credit. */
function listShares(
  view: GrantView,
  set: EndpointSetId,
  records: readonly ReportRecord[],
): readonly ShareState[] {
  const known = [...iterateShares(view.board.shares, set)];
  const furthest = Math.max(0, ...known.map(({value}) => value));
  return [...listWaitingOrganisations(records)].map(organisation => ({
    organisation,
    weight: readWeight(view, organisation),
    virtualTime: limitCredit(
      view.board.shares.get({set, organisation}) ?? furthest,
      furthest,
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
