import type {Milliseconds} from '@gentianshunt/clock';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';

/** Waiting requests for each slot above which shedding begins. */
export const SHED_ABOVE_PER_SLOT = 4;
/** Waiting requests for each slot at which shedding ends. */
export const SHED_UNTIL_PER_SLOT = 2;
/** Least time after which a refused caller may try again. */
export const SHED_RETRY_AFTER_MS: Milliseconds = 5_000;

/** Requests of one tier and organisation that wait in one entry. */
export interface WaitingCount {
  readonly node: NodeId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** What shedding is decided from. */
export interface SheddingInput {
  readonly waiting: readonly WaitingCount[];
  /** Requests that the endpoints can work on at once. */
  readonly slots: number;
  /** Whether the set is being shed already. */
  readonly shedding: boolean;
  /** The lowest tier; no tier above it is shed. */
  readonly lowestRank: number;
}

/** Requests to shed, and whether the level stays up. */
export interface SheddingDecision {
  readonly shedding: boolean;
  readonly shed: readonly WaitingCount[];
}

/**
 * Decides what to shed. Demand that has not been reported yet may hold requests
 * of any tier, so only the lowest tier can be shed without going before one
 * below it. The organisation that has most waiting loses first.
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
  lines: readonly WaitingCount[],
  excess: number,
): readonly WaitingCount[] {
  const shed: WaitingCount[] = [];
  let left = excess;
  const sorted = [...lines].sort((a, b) => b.count - a.count);
  for (const line of sorted) {
    const count = Math.min(left, line.count);
    if (count > 0) {
      shed.push({...line, count});
      left -= count;
    }
  }
  return shed;
}

function sumCounts(lines: readonly WaitingCount[]): number {
  return lines.reduce((sum, {count}) => sum + count, 0);
}
