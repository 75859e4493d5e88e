import type {MonotonicTime} from '@gentianshunt/clock';

/** How much a claim may take of the budget. */
export type ClaimKind =
  /** A whole body of at most `SMALL_BODY_BYTES`; may use all of it. */
  | 'small'
  /** A larger body; a part of the budget is kept for small ones. */
  | 'large'
  /** A further part of a body of unknown length; goes before new bodies. */
  | 'growth';

/** Largest body that may use the part of the budget kept for small ones. */
export const SMALL_BODY_BYTES = 64 * 1_024;

/** A claim on memory for bytes that are not read yet. */
export interface MemoryClaim {
  readonly id: number;
  readonly kind: ClaimKind;
  readonly bytes: number;
  /** Bytes that the same body holds already. */
  readonly ownBytes: number;
  /** Rank of the tier; rank 1 is served first and refused last. */
  readonly rank: number;
  /** When the claim is refused if it still waits. */
  readonly refuseAt: MonotonicTime;
}

/** What an account holds, and which claims wait for memory. */
export interface AccountState {
  readonly budgetBytes: number;
  readonly reservedBytes: number;
  /** Most claims that wait. */
  readonly maxWaiting: number;
  /** Waiting claims in the order in which they are served. */
  readonly waiting: readonly MemoryClaim[];
}

/** What became of a claim. */
export type ClaimDecision =
  | {readonly kind: 'granted'; readonly claim: number}
  | {readonly kind: 'refused'; readonly claim: number};

/** A new state and the claims that it decides. */
export interface AccountChange {
  readonly state: AccountState;
  readonly decisions: readonly ClaimDecision[];
}

/** Bytes that a connection may hold of a request that waits to be read. */
const UNREAD_REQUEST_BYTES = 64 * 1_024;
/** Fraction of the budget that unread requests may take in addition to it. */
const WAITING_FRACTION = 0.25;

/** Creates an account that holds nothing. */
export function createAccount(budgetBytes: number): AccountState {
  return {
    budgetBytes,
    reservedBytes: 0,
    maxWaiting: Math.ceil(
      (budgetBytes * WAITING_FRACTION) / UNREAD_REQUEST_BYTES,
    ),
    waiting: [],
  };
}
