import type {TurnTime, View} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import type {OrganisationLimits} from '@gentianshunt/configuration';
import type {
  DemandReportRecord,
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantsSinceReport,
} from '@gentianshunt/entryModel';
import type {
  EndpointSetId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import {
  computeAllowance,
  isLimited,
  refillBucket,
  spendBucket,
} from '@gentianshunt/limits';
import type {Allowances, RateBucket} from '@gentianshunt/limits';

import type {AllocatedSlot} from './allocation.js';
import {listWaitingOrganisations} from './openDemand.js';

type LimitView = View<
  EntrySections,
  'configuration' | 'limitBuckets',
  EntryObservation
>;

/** The state of a set to which organisation limits are applied. */
export interface LimitInput {
  readonly set: EndpointSetId;
  readonly records: readonly DemandReportRecord[];
  readonly grantedByNode: ReadonlyMap<NodeId, GrantsSinceReport>;
  readonly now: TurnTime;
}

/** The limits of the organisations with requests waiting for a set. */
export interface OrganisationLimiter {
  readonly allowances: Allowances;
  /** Lists the writes that charge granted slots to the rate limits. */
  listBucketWrites(
    slots: readonly AllocatedSlot[],
  ): readonly EntryWrite<'limitBuckets'>[];
}

/** Computes how many slots each organisation with limits may be granted now. */
export function limitOrganisations(
  view: LimitView,
  input: LimitInput,
): OrganisationLimiter {
  const allowances = new Map<OrganisationId, number>();
  const buckets = new Map<OrganisationId, RateBucket>();
  const limited = [...listWaitingOrganisations(input.records)].flatMap(
    organisation => {
      const limits = findLimits(view, organisation);
      return limits !== undefined && isLimited(limits)
        ? [{organisation, limits}]
        : [];
    },
  );
  const occupied =
    limited.length === 0
      ? new Map<OrganisationId, number>()
      : countOccupied(input);
  for (const {organisation, limits} of limited) {
    const bucket = readBucket(view, input, organisation, limits);
    if (bucket !== null) {
      buckets.set(organisation, bucket);
    }
    const occupiedCount = occupied.get(organisation) ?? 0;
    const allowance = computeAllowance({
      limits,
      occupied: occupiedCount,
      bucket,
    });
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

/**
 * Counts the running requests, the unused slots and the slots granted since the
 * demand reports.
 */
function countOccupied({
  records,
  grantedByNode,
}: LimitInput): ReadonlyMap<OrganisationId, number> {
  const occupied = new Map<OrganisationId, number>();
  const counted = [
    ...records.flatMap(({report}) => [...report.running, ...report.unspent]),
    ...[...grantedByNode.values()].flatMap(granted => granted.slots),
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
