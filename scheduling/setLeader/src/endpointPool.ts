import type {EndpointTarget} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {PromptPartId} from '@gentianshunt/identifiers';

/** An endpoint during one allocation. */
export interface OpenEndpoint {
  readonly target: EndpointTarget;
  readonly concurrency: number;
  readonly rate: number;
  occupied: number;
}

/** The endpoints of a set that have free capacity. */
export interface EndpointPool {
  /** Finds the endpoint that delays a request least. */
  findBest(): OpenEndpoint | undefined;
  /**
   * Finds an endpoint that keeps a part of a prompt, unless it would delay the
   * request much more than the best one.
   */
  findHome(part: PromptPartId, best: OpenEndpoint): OpenEndpoint | undefined;
}

/** Delay of an idle endpoint, relative to the delay that full load adds. */
const IDLE_DELAY_FACTOR = 1;
/** Endpoints that keep a part, so that the requests with it have some choice. */
const HOMES_PER_PART = 6;
/** Delay up to which such an endpoint is used, relative to the least one. */
const MAX_HOME_DELAY_FACTOR = 2;

/** Creates a pool; endpoints leave it once they are occupied. */
export function createEndpointPool(
  endpoints: readonly OpenEndpoint[],
): EndpointPool {
  const homes = new Map<PromptPartId, readonly OpenEndpoint[]>();
  const listHomes = (part: PromptPartId): readonly OpenEndpoint[] => {
    const known =
      homes.get(part) ??
      sortByRendezvous(part, endpoints, ({target}) => target.endpoint).slice(
        0,
        HOMES_PER_PART,
      );
    homes.set(part, known);
    return known;
  };
  return {
    findBest: () => findLeastDelay(endpoints),
    findHome: (part, best) => {
      const maxDelay = MAX_HOME_DELAY_FACTOR * estimateDelay(best);
      return listHomes(part).find(
        home => hasRoom(home) && estimateDelay(home) <= maxDelay,
      );
    },
  };
}

function findLeastDelay(
  endpoints: readonly OpenEndpoint[],
): OpenEndpoint | undefined {
  let best: OpenEndpoint | undefined;
  let leastDelay = Number.POSITIVE_INFINITY;
  for (const endpoint of endpoints) {
    const delay = estimateDelay(endpoint);
    if (hasRoom(endpoint) && delay < leastDelay) {
      best = endpoint;
      leastDelay = delay;
    }
  }
  return best;
}

function hasRoom({occupied, concurrency}: OpenEndpoint): boolean {
  return occupied < concurrency;
}

/** Estimates how much an endpoint delays a request, to compare endpoints. */
function estimateDelay(endpoint: OpenEndpoint): number {
  const rate = Math.max(endpoint.rate, Number.MIN_VALUE);
  return rate * (IDLE_DELAY_FACTOR + computeLoad(endpoint));
}

/** Computes which part of the concurrency of an endpoint is occupied. */
export function computeLoad({occupied, concurrency}: OpenEndpoint): number {
  return occupied / concurrency;
}
