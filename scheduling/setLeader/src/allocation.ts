import type {EndpointTarget, WaitingLine} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';

/** An endpoint's places, and how many of them are taken. */
export interface EndpointCapacity {
  readonly target: EndpointTarget;
  readonly concurrency: number;
  readonly occupied: number;
}

/** A line of requests waiting in one entry. */
export interface EntryLine {
  readonly node: NodeId;
  readonly line: WaitingLine;
}

/** An organisation's claim on a tier's capacity. */
export interface ShareState {
  readonly organisation: OrganisationId;
  readonly weight: number;
  /** Service received so far, divided by the weight. */
  readonly virtualTime: number;
}

/** One slot given to one entry. */
export interface AllocatedSlot {
  readonly node: NodeId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly target: EndpointTarget;
}

/** What an allocation starts from. */
export interface AllocationInput {
  readonly endpoints: readonly EndpointCapacity[];
  readonly lines: readonly EntryLine[];
  readonly shares: readonly ShareState[];
}

/** The slots allocated and the shares after it. */
export interface AllocationResult {
  readonly slots: readonly AllocatedSlot[];
  readonly shares: readonly ShareState[];
}

interface OpenLine {
  readonly node: NodeId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly oldestWaitMs: number;
  remaining: number;
}

interface OpenEndpoint {
  readonly target: EndpointTarget;
  readonly concurrency: number;
  occupied: number;
}

/**
 * Gives free places to waiting requests: the highest tier first, within a tier
 * the organisation that has had least for its weight, within an organisation
 * the line that has waited longest.
 */
export function allocateSlots(input: AllocationInput): AllocationResult {
  const lines = input.lines.map(toOpenLine);
  const endpoints = input.endpoints.map(endpoint => ({...endpoint}));
  const times = new Map(
    input.shares.map(share => [share.organisation, share.virtualTime]),
  );
  const weights = new Map(
    input.shares.map(share => [share.organisation, share.weight]),
  );
  const slots: AllocatedSlot[] = [];
  for (;;) {
    const endpoint = pickEndpoint(endpoints);
    const line = pickLine(lines, times);
    if (endpoint === undefined || line === undefined) {
      break;
    }
    line.remaining -= 1;
    endpoint.occupied += 1;
    const {node, rank, organisation} = line;
    const step = 1 / (weights.get(organisation) ?? 1);
    times.set(organisation, (times.get(organisation) ?? 0) + step);
    slots.push({node, rank, organisation, target: endpoint.target});
  }
  const shares = input.shares.map(share => ({
    ...share,
    virtualTime: times.get(share.organisation) ?? share.virtualTime,
  }));
  return {slots, shares};
}

function toOpenLine({node, line}: EntryLine): OpenLine {
  return {
    node,
    rank: line.rank,
    organisation: line.organisation,
    oldestWaitMs: line.oldestWaitMs,
    remaining: line.count,
  };
}

function pickEndpoint(
  endpoints: readonly OpenEndpoint[],
): OpenEndpoint | undefined {
  let best: OpenEndpoint | undefined;
  for (const endpoint of endpoints) {
    if (endpoint.occupied >= endpoint.concurrency) {
      continue;
    }
    if (best === undefined || readLoad(endpoint) < readLoad(best)) {
      best = endpoint;
    }
  }
  return best;
}

function readLoad(endpoint: OpenEndpoint): number {
  return endpoint.occupied / endpoint.concurrency;
}

function pickLine(
  lines: readonly OpenLine[],
  times: ReadonlyMap<OrganisationId, number>,
): OpenLine | undefined {
  let best: OpenLine | undefined;
  for (const line of lines) {
    if (line.remaining > 0 && (!best || goesBefore(line, best, times))) {
      best = line;
    }
  }
  return best;
}

function goesBefore(
  left: OpenLine,
  right: OpenLine,
  times: ReadonlyMap<OrganisationId, number>,
): boolean {
  if (left.rank !== right.rank) {
    return left.rank < right.rank;
  }
  const leftTime = times.get(left.organisation) ?? 0;
  const rightTime = times.get(right.organisation) ?? 0;
  if (leftTime !== rightTime) {
    return leftTime < rightTime;
  }
  return left.oldestWaitMs > right.oldestWaitMs;
}

/** Counts the places taken at each endpoint. */
export function countOccupied(
  counts: Iterable<{readonly endpoint: EndpointId; readonly count: number}>,
): ReadonlyMap<EndpointId, number> {
  const occupied = new Map<EndpointId, number>();
  for (const {endpoint, count} of counts) {
    occupied.set(endpoint, (occupied.get(endpoint) ?? 0) + count);
  }
  return occupied;
}
