import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {AppliedStatus, Leadership, Role} from '@gentianshunt/controlModel';

/** Lifetime of an entry's configuration lease. */
export const ENTRY_LEASE_MS: Milliseconds = 3_000;

/**
 * Tells how long leases of an earlier leader may still live. Until then a
 * new leader has not heard of every entry that acts on a configuration.
 */
export function readSettlingMs(role: Role, now: TurnTime): Milliseconds {
  return role.kind === 'leader'
    ? Math.max(0, role.since + ENTRY_LEASE_MS - now.monotonic)
    : ENTRY_LEASE_MS;
}

/** What tells whether entries may be answered from the applied log. */
export interface LeaderBoard {
  readonly leadership: Leadership;
  readonly applied: AppliedStatus;
}

/**
 * Tells whether this daemon leads beyond doubt and has applied all that was
 * committed before. A daemon cut off from its peers, or one that was frozen,
 * fails the test before another can be elected.
 */
export function isConfirmedLeader(board: LeaderBoard, now: TurnTime): boolean {
  const {leadership} = board;
  return (
    hasOwnEntryApplied(board) &&
    leadership.kind === 'leading' &&
    now.monotonic < leadership.confirmedUntil
  );
}

/** Tells whether a new leader has applied the first entry of its term. */
export function hasOwnEntryApplied(board: LeaderBoard): boolean {
  const {leadership, applied} = board;
  return leadership.kind === 'leading' && applied.index >= leadership.readIndex;
}

/** Tells whether this daemon leads and every live entry is known to it. */
export function isSettled(role: Role, now: TurnTime): boolean {
  return role.kind === 'leader' && readSettlingMs(role, now) === 0;
}
