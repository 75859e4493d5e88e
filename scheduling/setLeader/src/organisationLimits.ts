import type {TurnTime, View} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import type {OrganisationLimits} from '@gentianshunt/configuration';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantedSince,
  ReportRecord,
} from '@gentianshunt/entryModel';
import type {
  EndpointSetId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import {
  isLimited,
  readAllowance,
  refillBucket,
  spendBucket,
} from '@gentianshunt/limits';
import type {Allowances, RateBucket} from '@gentianshunt/limits';

import type {AllocatedSlot} from './allocation.js';
import {listWaitingOrganisations} from './openLines.js';

type LimitView = View<
  EntrySections,
  'configuration' | 'limitBuckets',
  EntryObservation
>;

/** What the leader knows of a set when it applies limits. */
export interface LimitInput {
  readonly set: EndpointSetId;
  readonly records: readonly ReportRecord[];
  readonly before: ReadonlyMap<NodeId, GrantedSince>;
  readonly now: TurnTime;
}

/** The limits of the organisations that wait at a set. */
export interface OrganisationLimiter {
  readonly allowances: Allowances;
  /** Lists the writes that take granted slots out of the rates. */
  listBucketWrites(
    slots: readonly AllocatedSlot[],
  ): readonly EntryWrite<'limitBuckets'>[];
}

/** Works out what organisations with limits may be granted now. */
export function limitOrganisations(
  view: LimitView,
  input: LimitInput,
): OrganisationLimiter {
  const allowances = new Map<OrganisationId, number>();
  const buckets = new Map<OrganisationId, RateBucket>();
  const occupied = countOccupied(input);
  for (const organisation of listWaitingOrganisations(input.records)) {
    const limits = findLimits(view, organisation);
    if (limits === undefined || !isLimited(limits)) {
      continue;
    }
    const bucket = readBucket(view, input, organisation, limits);
    if (bucket !== null) {
      buckets.set(organisation, bucket);
    }
    const held = occupied.get(organisation) ?? 0;
    const allowance = readAllowance({limits, occupied: held, bucket});
    allowances.set(organisation, allowance);
  }
  return {
    allowances,
    listBucketWrites: slots =>
      [...buckets].map(([organisation, bucket]) => ({
        kind: 'put',
        section: 'limitBuckets',
        key: {set: input.set, organisation},
        value: spendBucket(bucket, countSlots(organisation, slots)),
      })),
  };
}

function findLimits(view: LimitView, organisation: OrganisationId) {
  return findObject(view.board.configuration, 'organisation', organisation)
    ?.limits;
}

function readBucket(
  view: LimitView,
  {set, now}: LimitInput,
  organisation: OrganisationId,
  {maxRequestsPerSecond}: OrganisationLimits,
): RateBucket | null {
  if (maxRequestsPerSecond === null) {
    return null;
  }
  const known = view.board.limitBuckets.get({set, organisation});
  return refillBucket(known, maxRequestsPerSecond, now.monotonic);
}

/** Counts running requests, unspent slots and slots granted since. */
function countOccupied({
  records,
  before,
}: LimitInput): ReadonlyMap<OrganisationId, number> {
  const occupied = new Map<OrganisationId, number>();
  const counted = [
    ...records.flatMap(({report}) => [...report.running, ...report.unspent]),
    ...[...before.values()].flatMap(since => since.slots),
  ];
  for (const {organisation, count} of counted) {
    occupied.set(organisation, (occupied.get(organisation) ?? 0) + count);
  }
  return occupied;
}

function countSlots(
  organisation: OrganisationId,
  slots: readonly AllocatedSlot[],
): number {
  return slots.filter(slot => slot.organisation === organisation).length;
}
