import type {TurnTime, View} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
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
  for (const organisation of listWaiting(input.records)) {
    const limits = findLimits(view, organisation);
    if (limits === undefined || !isLimited(limits)) {
      continue;
    }
    const bucket = readBucket(view, input, organisation);
    if (bucket !== null) {
      buckets.set(organisation, bucket);
    }
    const occupied = countOccupiedBy(organisation, input);
    allowances.set(organisation, readAllowance({limits, occupied, bucket}));
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

function listWaiting(
  records: readonly ReportRecord[],
): ReadonlySet<OrganisationId> {
  return new Set(
    records.flatMap(({report}) =>
      report.waiting
        .filter(line => line.count > 0)
        .map(line => line.organisation),
    ),
  );
}

function readBucket(
  view: LimitView,
  {set, now}: LimitInput,
  organisation: OrganisationId,
): RateBucket | null {
  const rate = findLimits(view, organisation)?.maxRequestsPerSecond ?? null;
  const known = view.board.limitBuckets.get({set, organisation});
  return rate === null ? null : refillBucket(known, rate, now.monotonic);
}

/** Counts running requests, unspent slots and slots granted since. */
function countOccupiedBy(
  organisation: OrganisationId,
  {records, before}: LimitInput,
): number {
  const counted = [
    ...records.flatMap(({report}) => [...report.running, ...report.unspent]),
    ...[...before.values()].flatMap(since => since.slots),
  ];
  return counted
    .filter(item => item.organisation === organisation)
    .reduce((sum, item) => sum + item.count, 0);
}

function countSlots(
  organisation: OrganisationId,
  slots: readonly AllocatedSlot[],
): number {
  return slots.filter(slot => slot.organisation === organisation).length;
}
