import type {MonotonicTime} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';

import type {
  AccountChange,
  AccountState,
  ClaimDecision,
  ClaimKind,
  MemoryClaim,
} from './accountState.js';

/** Fraction of the budget that large and growing bodies may use. */
const LARGE_FRACTION = 0.75;

/** How much a body wants, and what it holds already. */
export type WantedBytes = Pick<MemoryClaim, 'kind' | 'bytes' | 'ownBytes'>;

/** Returns whether the budget is used up, so that no call can be admitted. */
export function isFull({reservedBytes, budgetBytes}: AccountState): boolean {
  return reservedBytes >= budgetBytes;
}

/**
 * Reserves memory if it is free and no earlier claim waits for it. Returns
 * `undefined` if the claim has to wait.
 */
export function takeFreeBytes(
  state: AccountState,
  wanted: WantedBytes,
): AccountState | undefined {
  const isBehind = state.waiting.some(({kind}) =>
    canPrecede(kind, wanted.kind),
  );
  return !isBehind && canHold(state, wanted)
    ? addHeldBytes(state, wanted.bytes)
    : undefined;
}

/** Adds a claim that waits; the last one is refused if too many do. */
export function admitClaim(
  state: AccountState,
  claim: MemoryClaim,
): AccountChange {
  const position = state.waiting.findIndex(
    other => compareClaims(claim, other) < 0,
  );
  const waiting = [...state.waiting];
  waiting.splice(position < 0 ? waiting.length : position, 0, claim);
  const refused = waiting.splice(state.maxWaiting);
  return grantWaiting({...state, waiting}, refused.map(toRefused));
}

/** Gives back reserved memory and serves the claims that wait for it. */
export function releaseBytes(
  state: AccountState,
  bytes: number,
): AccountChange {
  return grantWaiting(addHeldBytes(state, -bytes), []);
}

/** Adds bytes that are held already, whether there is room or not. */
export function addHeldBytes(state: AccountState, bytes: number): AccountState {
  return {...state, reservedBytes: state.reservedBytes + bytes};
}

/** Drops a claim whose caller has left. */
export function dropClaim(state: AccountState, id: number): AccountChange {
  const waiting = state.waiting.filter(claim => claim.id !== id);
  return grantWaiting({...state, waiting}, []);
}

/** Refuses the claims that have waited as long as they may. */
export function expireClaims(
  state: AccountState,
  now: MonotonicTime,
): AccountChange {
  const isDue = ({refuseAt}: MemoryClaim): boolean => refuseAt <= now;
  const refused = state.waiting.filter(isDue);
  const waiting = state.waiting.filter(claim => !isDue(claim));
  return grantWaiting({...state, waiting}, refused.map(toRefused));
}

/** Grants waiting claims in their order; a large one holds up other large ones. */
function grantWaiting(
  start: AccountState,
  decided: readonly ClaimDecision[],
): AccountChange {
  let state = start;
  let isLargeHeldUp = false;
  const granted: ClaimDecision[] = [];
  const waiting = start.waiting.filter(claim => {
    const isHeldUp = isLargeHeldUp && !isSmall(claim.kind);
    if (isHeldUp || !canHold(state, claim)) {
      isLargeHeldUp ||= !isSmall(claim.kind);
      return true;
    }
    state = addHeldBytes(state, claim.bytes);
    granted.push({kind: 'granted', claim: claim.id});
    return false;
  });
  return {state: {...state, waiting}, decisions: [...decided, ...granted]};
}

/** A body beyond the budget is held alone. */
function canHold(
  {budgetBytes, reservedBytes}: AccountState,
  {kind, bytes, ownBytes}: WantedBytes,
): boolean {
  const limit = isSmall(kind) ? budgetBytes : budgetBytes * LARGE_FRACTION;
  return reservedBytes + bytes <= limit || reservedBytes <= ownBytes;
}

/** Bodies under way first, then by tier; equal ones keep their order. */
function compareClaims(left: MemoryClaim, right: MemoryClaim): number {
  const leftGrows = left.kind === 'growth' ? 0 : 1;
  const rightGrows = right.kind === 'growth' ? 0 : 1;
  return leftGrows - rightGrows || left.rank - right.rank;
}

/** Returns whether a waiting claim of a kind goes before a new one. */
function canPrecede(waiting: ClaimKind, added: ClaimKind): boolean {
  return added === 'growth'
    ? waiting === 'growth'
    : isSmall(waiting) === isSmall(added);
}

function isSmall(kind: ClaimKind): boolean {
  switch (kind) {
    case 'small':
      return true;
    case 'large':
    case 'growth':
      return false;
    default:
      return assertNever(kind, 'isSmall');
  }
}

function toRefused({id}: MemoryClaim): ClaimDecision {
  return {kind: 'refused', claim: id};
}
