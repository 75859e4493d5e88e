import type {ReportRecord, WaitingLine} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {allocateSlots} from './allocation.js';
import type {AllocatedSlot, EndpointCapacity, EntryLine} from './allocation.js';

/** Share of the free places that may be granted ahead of demand. */
const STANDING_SHARE = 0.5;
/** Fewest endpoints at which an entry is given slots ahead of demand. */
const MIN_NEAR_ENDPOINTS = 8;

/** What slots ahead of demand are allocated from. */
export interface StandingInput {
  readonly endpoints: readonly EndpointCapacity[];
  readonly records: readonly ReportRecord[];
  /** Tells whether an entry's report has not been answered yet. */
  readonly canTake: (node: NodeId) => boolean;
  /** Slots just allocated to requests that wait. */
  readonly allocated: readonly AllocatedSlot[];
}

/**
 * Grants slots ahead of demand while no request waits, so that an arrival
 * needs no exchange. They take part of the free places only and cost no share.
 * Each entry gets them at a few endpoints, which keeps its messages short.
 */
export function allocateStanding(
  input: StandingInput,
): readonly AllocatedSlot[] {
  const slots = [...input.allocated];
  const reserved = input.endpoints.map(endpoint =>
    reserveFree(endpoint, input.allocated),
  );
  input.records.forEach((record, index) => {
    if (!input.canTake(record.node)) {
      return;
    }
    const near = pickNear(reserved, index, input.records.length);
    const endpoints = near.map(endpoint => addTaken(endpoint, slots, input));
    const lines = listExpectedLines(record);
    slots.push(...allocateSlots({endpoints, lines, shares: []}).slots);
  });
  return slots.slice(input.allocated.length);
}

/** Picks the part of the endpoints that falls to one of the entries. */
function pickNear(
  endpoints: readonly EndpointCapacity[],
  index: number,
  entries: number,
): readonly EndpointCapacity[] {
  const total = endpoints.length;
  const share = Math.ceil(total / entries);
  const wanted = Math.min(total, Math.max(MIN_NEAR_ENDPOINTS, share));
  const first = Math.floor((index * total) / entries);
  return Array.from(
    {length: wanted},
    (_, offset) => endpoints[(first + offset) % total]!,
  );
}

function addTaken(
  endpoint: EndpointCapacity,
  slots: readonly AllocatedSlot[],
  input: StandingInput,
): EndpointCapacity {
  const taken = countTaken(endpoint, slots.slice(input.allocated.length));
  return {...endpoint, occupied: endpoint.occupied + taken};
}

function countTaken(
  endpoint: EndpointCapacity,
  slots: readonly AllocatedSlot[],
): number {
  return slots.filter(slot => slot.target.endpoint === endpoint.target.endpoint)
    .length;
}

function reserveFree(
  endpoint: EndpointCapacity,
  allocated: readonly AllocatedSlot[],
): EndpointCapacity {
  const occupied = endpoint.occupied + countTaken(endpoint, allocated);
  const free = Math.max(0, endpoint.concurrency - occupied);
  const concurrency = occupied + Math.floor(free * STANDING_SHARE);
  return {...endpoint, occupied, concurrency};
}

/** Lists what each line expects beyond the slots it still holds. */
function listExpectedLines(record: ReportRecord): readonly EntryLine[] {
  return record.report.waiting
    .map(line => ({
      node: record.node,
      line: {...line, count: line.expected - countHeld(record, line)},
    }))
    .filter(({line}) => line.count > 0);
}

function countHeld(record: ReportRecord, line: WaitingLine): number {
  return record.report.unspent
    .filter(
      held =>
        held.rank === line.rank && held.organisation === line.organisation,
    )
    .reduce((sum, held) => sum + held.count, 0);
}
