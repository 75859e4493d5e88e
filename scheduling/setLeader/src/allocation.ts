import type {EndpointTarget, QueueDemand} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import {
  computeMedianRate,
  isRateAccepted,
  isUnderserved,
} from '@gentianshunt/policy';
import TinyQueue from 'tinyqueue';

import {computeLoad, createEndpointPool} from './endpointPool.js';
import type {EndpointPool, OpenEndpoint} from './endpointPool.js';

/** Deferred requests go only to endpoints below this load. */
export const DEFERRED_LOAD_LIMIT = 0.5;

/** The capacity of an endpoint, and how much of it is occupied. */
export interface EndpointCapacity {
  readonly target: EndpointTarget;
  readonly concurrency: number;
  readonly occupied: number;
  /** Milliseconds to decode a token; raised for endpoints with failures. */
  readonly rate: number;
  /** Whether it may get more requests than it processes at once. */
  readonly canQueue: boolean;
}

/** A queue of requests that wait in one entry. */
export interface EntryQueue {
  readonly node: NodeId;
  readonly queue: QueueDemand;
}

/** How much service an organisation has received, for fair sharing. */
export interface FairShareState {
  readonly organisation: OrganisationId;
  readonly weight: number;
  /** Service received so far, divided by the weight. */
  readonly virtualTime: number;
}

/** One slot granted to one entry. */
export interface AllocatedSlot {
  readonly node: NodeId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly target: EndpointTarget;
}

/** The capacity, the demand and the fair shares before an allocation. */
export interface AllocationInput {
  readonly endpoints: readonly EndpointCapacity[];
  readonly queues: readonly EntryQueue[];
  readonly fairShares: readonly FairShareState[];
}

/** The allocated slots, and the fair shares after the allocation. */
export interface AllocationResult {
  readonly slots: readonly AllocatedSlot[];
  readonly fairShares: readonly FairShareState[];
}

interface OpenQueue {
  readonly node: NodeId;
  readonly queue: QueueDemand;
  remaining: number;
}

/** The queues of one organisation in one tier, best next request first. */
interface OrganisationQueues {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly weight: number;
  readonly queues: TinyQueue<OpenQueue>;
}

/**
 * Allocates free capacity to waiting requests: the highest tier first, within a
 * tier the organisation that received the least service for its weight, within
 * an organisation the queue whose next request has the highest score. Deferred
 * requests come last and use lightly loaded endpoints only.
 */
export function allocateSlots(input: AllocationInput): AllocationResult {
  const virtualTimes = new Map(
    input.fairShares.map(fairShare => [
      fairShare.organisation,
      fairShare.virtualTime,
    ]),
  );
  const initialVirtualTimes: ReadonlyMap<OrganisationId, number> = new Map(
    virtualTimes,
  );
  const maxVirtualTime = Math.max(0, ...virtualTimes.values());
  const endpoints = createEndpointPool(
    input.endpoints.map(endpoint => ({...endpoint})),
  );
  const rates = input.endpoints.map(({rate}) => rate);
  const medianRate = computeMedianRate(rates);
  const fastestRate = Math.min(...rates);
  const slots = [
    ...allocatePass(input, endpoints, virtualTimes, {
      loadLimit: 1,
      medianRate,
      fastestRate,
      count: queue =>
        isUnderserved(
          initialVirtualTimes.get(queue.organisation) ?? 0,
          maxVirtualTime,
        )
          ? Math.min(queue.readyEarly, queue.count)
          : Math.min(queue.ready, queue.count),
    }),
    ...allocatePass(input, endpoints, virtualTimes, {
      loadLimit: DEFERRED_LOAD_LIMIT,
      medianRate,
      fastestRate,
      count: queue =>
        isUnderserved(
          initialVirtualTimes.get(queue.organisation) ?? 0,
          maxVirtualTime,
        )
          ? Math.max(0, queue.count - queue.readyEarly)
          : Math.max(0, queue.count - queue.ready),
    }),
  ];
  const fairShares = input.fairShares.map(fairShare => ({
    ...fairShare,
    virtualTime:
      virtualTimes.get(fairShare.organisation) ?? fairShare.virtualTime,
  }));
  return {slots, fairShares};
}

/** Which requests of a queue are served, and by which endpoints. */
interface AllocationPass {
  readonly loadLimit: number;
  readonly medianRate: number;
  readonly fastestRate: number;
  readonly count: (queue: QueueDemand) => number;
}

function allocatePass(
  input: AllocationInput,
  endpoints: EndpointPool,
  virtualTimes: Map<OrganisationId, number>,
  pass: AllocationPass,
): readonly AllocatedSlot[] {
  const ranks = [...new Set(input.queues.map(({queue}) => queue.rank))];
  // The organisations of a lower tier are ordered after the higher tiers were
  // served, because that changes their virtual times.
  return ranks
    .sort((left, right) => left - right)
    .flatMap(rank => {
      const organisations = createOrganisationQueues(
        input,
        rank,
        virtualTimes,
        pass,
      );
      return serveTier(organisations, endpoints, virtualTimes, pass);
    });
}

function serveTier(
  organisations: TinyQueue<OrganisationQueues>,
  endpoints: EndpointPool,
  virtualTimes: Map<OrganisationId, number>,
  pass: AllocationPass,
): readonly AllocatedSlot[] {
  const slots: AllocatedSlot[] = [];
  for (;;) {
    const next = organisations.peek();
    const best = endpoints.findBest();
    if (
      next === undefined ||
      best === undefined ||
      !canUseEndpoint(next, best, pass)
    ) {
      return slots;
    }
    organisations.pop();
    const home = findHome(next, endpoints, best, pass);
    slots.push(allocateSlot(next, home ?? best, virtualTimes));
    if (next.queues.length > 0) {
      organisations.push(next);
    }
  }
}

/** Finds an endpoint that keeps what the next request begins with, if any. */
function findHome(
  next: OrganisationQueues,
  endpoints: EndpointPool,
  best: OpenEndpoint,
  pass: AllocationPass,
): OpenEndpoint | undefined {
  const open = next.queues.peek();
  // Only the part of the first request of a queue is known.
  const part =
    open !== undefined && open.remaining === pass.count(open.queue)
      ? open.queue.part
      : null;
  const home = part === null ? undefined : endpoints.findHome(part, best);
  return home !== undefined && canUseEndpoint(next, home, pass)
    ? home
    : undefined;
}

function canUseEndpoint(
  next: OrganisationQueues,
  endpoint: OpenEndpoint,
  pass: AllocationPass,
): boolean {
  const queue = next.queues.peek()?.queue;
  return (
    computeLoad(endpoint) < pass.loadLimit &&
    isRateAccepted({
      rank: next.rank,
      waitedMs: queue?.oldestWaitMs ?? 0,
      objectiveMs: queue?.objectiveMs ?? null,
      rate: endpoint.rate,
      medianRate: pass.medianRate,
      fastestRate: pass.fastestRate,
    })
  );
}

/** Allocates a slot to the best queue of an organisation. */
function allocateSlot(
  next: OrganisationQueues,
  endpoint: OpenEndpoint,
  virtualTimes: Map<OrganisationId, number>,
): AllocatedSlot {
  const {rank, organisation} = next;
  const open = next.queues.pop()!;
  open.remaining -= 1;
  endpoint.occupied += 1;
  const step = Math.max(1, open.queue.costMs) / next.weight;
  virtualTimes.set(organisation, (virtualTimes.get(organisation) ?? 0) + step);
  if (open.remaining > 0) {
    next.queues.push(open);
  }
  return {node: open.node, rank, organisation, target: endpoint.target};
}

function createOrganisationQueues(
  input: AllocationInput,
  rank: number,
  virtualTimes: ReadonlyMap<OrganisationId, number>,
  pass: AllocationPass,
): TinyQueue<OrganisationQueues> {
  const weights = new Map(
    input.fairShares.map(fairShare => [
      fairShare.organisation,
      fairShare.weight,
    ]),
  );
  const organisations = new Map<OrganisationId, OrganisationQueues>();
  for (const {node, queue} of input.queues) {
    const remaining = pass.count(queue);
    if (remaining <= 0 || queue.rank !== rank) {
      continue;
    }
    const {organisation} = queue;
    const ownQueues = organisations.get(organisation) ?? {
      rank,
      organisation,
      weight: weights.get(organisation) ?? 1,
      queues: new TinyQueue<OpenQueue>([], compareQueues),
    };
    ownQueues.queues.push({node, queue, remaining});
    organisations.set(organisation, ownQueues);
  }
  const readVirtualTime = ({organisation}: OrganisationQueues): number =>
    virtualTimes.get(organisation) ?? 0;
  return new TinyQueue<OrganisationQueues>(
    [...organisations.values()],
    (left, right) =>
      left.rank - right.rank || readVirtualTime(left) - readVirtualTime(right),
  );
}

function compareQueues(left: OpenQueue, right: OpenQueue): number {
  return (
    right.queue.score - left.queue.score ||
    right.queue.oldestWaitMs - left.queue.oldestWaitMs
  );
}

/** Sums the occupied capacity of each endpoint. */
export function countOccupied(
  counts: Iterable<{readonly endpoint: EndpointId; readonly count: number}>,
): ReadonlyMap<EndpointId, number> {
  const occupied = new Map<EndpointId, number>();
  for (const {endpoint, count} of counts) {
    occupied.set(endpoint, (occupied.get(endpoint) ?? 0) + count);
  }
  return occupied;
}
