import type {Milliseconds} from '@gentianshunt/clock';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';

/** Waiting requests per slot above which shedding begins. */
export const SHED_ABOVE_PER_SLOT = 4;
/** Waiting requests per slot at which shedding ends. */
export const SHED_UNTIL_PER_SLOT = 2;
/** Shortest time after which a refused caller may retry. */
export const SHED_RETRY_AFTER_MS: Milliseconds = 5_000;

/** Number of waiting requests of a tier and organisation at one entry. */
export interface WaitingCount {
  readonly node: NodeId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** The inputs of a shedding decision. */
export interface SheddingInput {
  readonly waiting: readonly WaitingCount[];
  /** Number of requests that the endpoints can process concurrently. */
  readonly slots: number;
  /** Whether requests of the set are being shed already. */
  readonly shedding: boolean;
  /** The lowest tier; no tier above it is shed. */
  readonly lowestRank: number;
}

/** Requests to shed, and whether shedding continues. */
export interface SheddingDecision {
  readonly shedding: boolean;
  readonly shed: readonly WaitingCount[];
}

/**
 * Decides what to shed, largest counts first. Only the lowest tier is shed:
 * demand that has not been reported yet may contain requests of any tier, so
 * shedding a higher tier could refuse its requests and keep those of a lower.
 */
export function decideShedding(input: SheddingInput): SheddingDecision {
  const total = sumCounts(input.waiting);
  const perSlot = input.shedding ? SHED_UNTIL_PER_SLOT : SHED_ABOVE_PER_SLOT;
  if (input.slots === 0 || total <= perSlot * input.slots) {
    return {shedding: false, shed: []};
  }
  const lowest = input.waiting.filter(({rank}) => rank >= input.lowestRank);
  const excess = total - SHED_UNTIL_PER_SLOT * input.slots;
  return {shedding: true, shed: takeLargest(lowest, excess)};
}

function takeLargest(
  waiting: readonly WaitingCount[],
  excess: number,
): readonly WaitingCount[] {
  const shed: WaitingCount[] = [];
  let remaining = excess;
  const sorted = [...waiting].sort((a, b) => b.count - a.count);
  for (const largest of sorted) {
    const count = Math.min(remaining, largest.count);
    if (count > 0) {
      shed.push({...largest, count});
      remaining -= count;
    }
  }
  return shed;
}

function sumCounts(waiting: readonly WaitingCount[]): number {
  return waiting.reduce((sum, {count}) => sum + count, 0);
}
