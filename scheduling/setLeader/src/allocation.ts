import type {EndpointTarget, WaitingLine} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import {isRateAccepted, isBehind, readMiddleRate} from '@gentianshunt/policy';
import TinyQueue from 'tinyqueue';

/** Load above which an endpoint takes no request that is being held. */
export const HELD_LOAD_LIMIT = 0.5;

/** Part of an endpoint's delay that is there without load. */
const BASE_DELAY = 1;

/** An endpoint's places, and how many of them are taken. */
export interface EndpointCapacity {
  readonly target: EndpointTarget;
  readonly concurrency: number;
  readonly occupied: number;
  /** Time it takes to decode a token. */
  readonly rate: number;
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
  readonly line: WaitingLine;
  remaining: number;
}

/** The lines of one organisation in one tier, and what it has received. */
interface OpenShare {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly weight: number;
  readonly lines: TinyQueue<OpenLine>;
}

interface OpenEndpoint {
  readonly target: EndpointTarget;
  readonly concurrency: number;
  readonly rate: number;
  occupied: number;
}

/**
 * Gives free places to waiting requests: the highest tier first, within a tier
 * the organisation that has had least for its weight, within an organisation
 * the line whose next request promises most for its cost. Requests that are
 * being held come last and only where there is ample room.
 */
export function allocateSlots(input: AllocationInput): AllocationResult {
  const times = new Map(
    input.shares.map(share => [share.organisation, share.virtualTime]),
  );
  const startTimes: ReadonlyMap<OrganisationId, number> = new Map(times);
  const furthest = Math.max(0, ...times.values());
  const endpoints = new TinyQueue<OpenEndpoint>(
    input.endpoints
      .filter(({concurrency, occupied}) => occupied < concurrency)
      .map(endpoint => ({...endpoint})),
    (left, right) => estimateDelay(left) - estimateDelay(right),
  );
  const rates = input.endpoints.map(({rate}) => rate);
  const middleRate = readMiddleRate(rates);
  const fastestRate = Math.min(...rates);
  const slots = [
    ...allocateTo(input, endpoints, times, {
      loadLimit: 1,
      middleRate,
      fastestRate,
      count: line =>
        isBehind(startTimes.get(line.organisation) ?? 0, furthest)
          ? Math.min(line.readyEarly, line.count)
          : Math.min(line.ready, line.count),
    }),
    ...allocateTo(input, endpoints, times, {
      loadLimit: HELD_LOAD_LIMIT,
      middleRate,
      fastestRate,
      count: line =>
        isBehind(startTimes.get(line.organisation) ?? 0, furthest)
          ? Math.max(0, line.count - line.readyEarly)
          : Math.max(0, line.count - line.ready),
    }),
  ];
  const shares = input.shares.map(share => ({
    ...share,
    virtualTime: times.get(share.organisation) ?? share.virtualTime,
  }));
  return {slots, shares};
}

/** Which requests of a line are served, and by which endpoints. */
interface AllocationPass {
  readonly loadLimit: number;
  readonly middleRate: number;
  readonly fastestRate: number;
  readonly count: (line: WaitingLine) => number;
}

function allocateTo(
  input: AllocationInput,
  endpoints: TinyQueue<OpenEndpoint>,
  times: Map<OrganisationId, number>,
  pass: AllocationPass,
): readonly AllocatedSlot[] {
  const ranks = [...new Set(input.lines.map(({line}) => line.rank))];
  // Shares of a lower tier are ordered once the higher tiers have been served.
  return ranks
    .sort((left, right) => left - right)
    .flatMap(rank => {
      const shares = createShares(input, rank, times, pass);
      return serveTier(shares, endpoints, times, pass);
    });
}

function serveTier(
  shares: TinyQueue<OpenShare>,
  endpoints: TinyQueue<OpenEndpoint>,
  times: Map<OrganisationId, number>,
  pass: AllocationPass,
): readonly AllocatedSlot[] {
  const slots: AllocatedSlot[] = [];
  for (;;) {
    const share = shares.peek();
    const endpoint = endpoints.peek();
    if (
      share === undefined ||
      endpoint === undefined ||
      !canFitEndpoint(share, endpoint, pass)
    ) {
      return slots;
    }
    shares.pop();
    endpoints.pop();
    slots.push(takeSlot(share, endpoint, times));
    if (share.lines.length > 0) {
      shares.push(share);
    }
    if (endpoint.occupied < endpoint.concurrency) {
      endpoints.push(endpoint);
    }
  }
}

function canFitEndpoint(
  share: OpenShare,
  endpoint: OpenEndpoint,
  pass: AllocationPass,
): boolean {
  const waitedMs = share.lines.peek()?.line.oldestWaitMs ?? 0;
  return (
    readLoad(endpoint) < pass.loadLimit &&
    isRateAccepted({
      rank: share.rank,
      waitedMs,
      rate: endpoint.rate,
      middle: pass.middleRate,
      fastest: pass.fastestRate,
    })
  );
}

/** Gives a place to the best line of a share. */
function takeSlot(
  share: OpenShare,
  endpoint: OpenEndpoint,
  times: Map<OrganisationId, number>,
): AllocatedSlot {
  const {rank, organisation} = share;
  const open = share.lines.pop()!;
  open.remaining -= 1;
  endpoint.occupied += 1;
  const step = Math.max(1, open.line.costMs) / share.weight;
  times.set(organisation, (times.get(organisation) ?? 0) + step);
  if (open.remaining > 0) {
    share.lines.push(open);
  }
  return {node: open.node, rank, organisation, target: endpoint.target};
}

function createShares(
  input: AllocationInput,
  rank: number,
  times: ReadonlyMap<OrganisationId, number>,
  pass: AllocationPass,
): TinyQueue<OpenShare> {
  const weights = new Map(
    input.shares.map(share => [share.organisation, share.weight]),
  );
  const shares = new Map<OrganisationId, OpenShare>();
  for (const {node, line} of input.lines) {
    const remaining = pass.count(line);
    if (remaining <= 0 || line.rank !== rank) {
      continue;
    }
    const {organisation} = line;
    const share = shares.get(organisation) ?? {
      rank,
      organisation,
      weight: weights.get(organisation) ?? 1,
      lines: new TinyQueue<OpenLine>([], compareLines),
    };
    share.lines.push({node, line, remaining});
    shares.set(organisation, share);
  }
  const readTime = ({organisation}: OpenShare): number =>
    times.get(organisation) ?? 0;
  return new TinyQueue<OpenShare>(
    [...shares.values()],
    (left, right) => left.rank - right.rank || readTime(left) - readTime(right),
  );
}

function compareLines(left: OpenLine, right: OpenLine): number {
  return (
    right.line.score - left.line.score ||
    right.line.oldestWaitMs - left.line.oldestWaitMs
  );
}

/** Rises with an endpoint's rate and with its load. */
function estimateDelay(endpoint: OpenEndpoint): number {
  const rate = Math.max(endpoint.rate, Number.MIN_VALUE);
  return rate * (BASE_DELAY + readLoad(endpoint));
}

function readLoad(endpoint: OpenEndpoint): number {
  return endpoint.occupied / endpoint.concurrency;
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
