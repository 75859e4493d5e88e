import type {DemandReportRecord, QueueDemand} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {allocateSlots} from './allocation.js';
import type {
  AllocatedSlot,
  EndpointCapacity,
  EntryQueue,
} from './allocation.js';

/** Fraction of the free capacity that may be granted as advance slots. */
const ADVANCE_FRACTION = 0.5;
/** Fewest endpoints at which an entry gets advance slots. */
const MIN_ENDPOINTS_PER_ENTRY = 8;

/** The capacity and the demand reports that advance slots are based on. */
export interface AdvanceInput {
  readonly endpoints: readonly EndpointCapacity[];
  readonly records: readonly DemandReportRecord[];
  /** Returns whether an entry's demand report was not answered yet. */
  readonly isUnanswered: (node: NodeId) => boolean;
  /** Slots that were just allocated to waiting requests. */
  readonly allocated: readonly AllocatedSlot[];
}

/**
 * Allocates advance slots for expected arrivals while no request waits, so that
 * an arrival need not wait for a demand report and its reply. They use only a
 * fraction of the free capacity and do not count towards fair shares. Each
 * entry gets them at a few endpoints, which keeps its messages short.
 */
export function allocateAdvanceSlots(
  input: AdvanceInput,
): readonly AllocatedSlot[] {
  const slots = [...input.allocated];
  const limited = input.endpoints.map(endpoint =>
    limitCapacity(endpoint, input.allocated),
  );
  input.records.forEach((record, index) => {
    if (!input.isUnanswered(record.node)) {
      return;
    }
    const selected = pickEndpoints(limited, index, input.records.length);
    const endpoints = selected.map(endpoint =>
      addAllocated(endpoint, slots, input),
    );
    const queues = listExpectedQueues(record);
    slots.push(...allocateSlots({endpoints, queues, fairShares: []}).slots);
  });
  return slots.slice(input.allocated.length);
}

/**
 * Picks the endpoints for the advance slots of one entry. The entries start at
 * evenly distributed offsets in the list of endpoints.
 */
function pickEndpoints(
  endpoints: readonly EndpointCapacity[],
  index: number,
  entries: number,
): readonly EndpointCapacity[] {
  const total = endpoints.length;
  const perEntry = Math.ceil(total / entries);
  const count = Math.min(total, Math.max(MIN_ENDPOINTS_PER_ENTRY, perEntry));
  const first = Math.floor((index * total) / entries);
  return Array.from(
    {length: count},
    (_, offset) => endpoints[(first + offset) % total]!,
  );
}

function addAllocated(
  endpoint: EndpointCapacity,
  slots: readonly AllocatedSlot[],
  input: AdvanceInput,
): EndpointCapacity {
  const allocated = countAllocated(
    endpoint,
    slots.slice(input.allocated.length),
  );
  return {...endpoint, occupied: endpoint.occupied + allocated};
}

function countAllocated(
  endpoint: EndpointCapacity,
  slots: readonly AllocatedSlot[],
): number {
  return slots.filter(slot => slot.target.endpoint === endpoint.target.endpoint)
    .length;
}

function limitCapacity(
  endpoint: EndpointCapacity,
  allocated: readonly AllocatedSlot[],
): EndpointCapacity {
  const occupied = endpoint.occupied + countAllocated(endpoint, allocated);
  const free = Math.max(0, endpoint.concurrency - occupied);
  const concurrency = occupied + Math.floor(free * ADVANCE_FRACTION);
  return {...endpoint, occupied, concurrency};
}

/** Lists the expected arrivals for which an entry has no unused slots. */
function listExpectedQueues(record: DemandReportRecord): readonly EntryQueue[] {
  return record.report.waiting
    .map((queue): EntryQueue => ({
      node: record.node,
      queue: createExpectedQueue(
        queue,
        queue.expected - countUnspent(record, queue),
      ),
    }))
    .filter(({queue}) => queue.count > 0);
}

/** Describes expected requests as a queue; none of them is deferred. */
function createExpectedQueue(queue: QueueDemand, count: number): QueueDemand {
  return {...queue, count, ready: count, readyEarly: count};
}

function countUnspent(record: DemandReportRecord, queue: QueueDemand): number {
  return record.report.unspent
    .filter(
      slots =>
        slots.rank === queue.rank && slots.organisation === queue.organisation,
    )
    .reduce((sum, slots) => sum + slots.count, 0);
}
