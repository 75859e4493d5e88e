/** Keeps the slots of a set within the rates that its endpoints named. */
import type {TurnTime, View} from '@gentianshunt/board';
import {isBrittle} from '@gentianshunt/entryModel';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import {refillTokens, spendBucket} from '@gentianshunt/limits';
import type {RateBucket} from '@gentianshunt/limits';
import {computeEndpointBurst, computeEndpointRate} from '@gentianshunt/policy';

import type {AllocatedSlot, EndpointCapacity} from './allocation.js';

type LimitView = View<
  EntrySections,
  'knownLimits' | 'endpointBuckets',
  EntryObservation
>;

/** The capacity of a set within the limits of its endpoints. */
export interface LimitedCapacities {
  readonly endpoints: readonly EndpointCapacity[];
  /** The same, without anything for expected requests at limited endpoints. */
  readonly advanceEndpoints: readonly EndpointCapacity[];
  /** The endpoints without a limit. */
  readonly unlimited: readonly EndpointCapacity[];
  /** Lists the writes that count the slots granted at limited endpoints. */
  listBucketWrites(
    slots: readonly AllocatedSlot[],
  ): readonly EntryWrite<'endpointBuckets'>[];
}

/** Limits capacities to what the rates of their endpoints still allow. */
export function limitCapacities(
  {board}: LimitView,
  capacities: readonly EndpointCapacity[],
  now: TurnTime,
): LimitedCapacities {
  const buckets = new Map<EndpointId, RateBucket>();
  for (const {target} of capacities) {
    const {endpoint} = target;
    const limit = board.knownLimits.get(endpoint);
    const perSecond = computeEndpointRate(limit, now.monotonic);
    if (perSecond !== undefined) {
      const known = board.endpointBuckets.get(endpoint);
      buckets.set(endpoint, refillLimit(known, perSecond, now));
    }
  }
  const isBrittleTarget = ({target}: EndpointCapacity): boolean =>
    isBrittle(board.knownLimits.get(target.endpoint));
  const isLimited = (capacity: EndpointCapacity): boolean =>
    buckets.has(capacity.target.endpoint) || isBrittleTarget(capacity);
  return {
    endpoints: capacities.map(capacity => {
      const bucket = buckets.get(capacity.target.endpoint);
      if (bucket !== undefined) {
        return limitToTokens(capacity, Math.floor(bucket.tokens));
      }
      // What a brittle endpoint can't run at once it might have to turn away.
      return isBrittleTarget(capacity)
        ? {...capacity, canQueue: false}
        : capacity;
    }),
    advanceEndpoints: capacities.map(capacity =>
      isLimited(capacity) ? limitToTokens(capacity, 0) : capacity,
    ),
    unlimited: capacities.filter(capacity => !isLimited(capacity)),
    listBucketWrites: slots => listBucketWrites(buckets, slots),
  };
}

/** A limit that was just named allows nothing at once. */
function refillLimit(
  known: RateBucket | undefined,
  perSecond: number,
  now: TurnTime,
): RateBucket {
  const capacity = computeEndpointBurst(perSecond);
  const empty = {tokens: 0, at: now.monotonic};
  return refillTokens(known ?? empty, {perSecond, capacity}, now.monotonic);
}

function limitToTokens(
  capacity: EndpointCapacity,
  tokens: number,
): EndpointCapacity {
  const {concurrency, occupied} = capacity;
  return {
    ...capacity,
    concurrency: Math.min(concurrency, occupied + tokens),
    canQueue: false,
  };
}

function listBucketWrites(
  buckets: ReadonlyMap<EndpointId, RateBucket>,
  slots: readonly AllocatedSlot[],
): readonly EntryWrite<'endpointBuckets'>[] {
  return Array.from(buckets, ([key, bucket]) => {
    const spent = slots.filter(({target}) => target.endpoint === key).length;
    const value = spendBucket(bucket, spent);
    return {kind: 'put', section: 'endpointBuckets', key, value};
  });
}
