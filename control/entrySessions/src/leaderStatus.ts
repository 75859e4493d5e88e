import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {AppliedStatus, Leadership, Role} from '@gentianshunt/controlModel';

/** Lifetime of the lease under which an entry uses its configuration. */
export const ENTRY_LEASE_MS: Milliseconds = 3_000;

/**
 * Computes the remaining time of the lease recovery period, in which leases of
 * the previous leader may still be valid. Until it ends, a new leader may have
 * no session of an entry that uses a configuration.
 */
export function computeLeaseRecoveryMs(
  role: Role,
  now: TurnTime,
): Milliseconds {
  return role.kind === 'leader'
    ? Math.max(0, role.since + ENTRY_LEASE_MS - now.monotonic)
    : ENTRY_LEASE_MS;
}

/** The sections that decide whether entries may be answered. */
export interface LeaderBoard {
  readonly leadership: Leadership;
  readonly applied: AppliedStatus;
}

/**
 * Returns whether this daemon is certain to lead and has applied everything
 * that was committed before its term. The confirmation expires before another
 * daemon can be elected, so a partitioned or suspended daemon fails the check.
 */
export function isConfirmedLeader(board: LeaderBoard, now: TurnTime): boolean {
  const {leadership} = board;
  return (
    hasOwnEntryApplied(board) &&
    leadership.kind === 'leading' &&
    now.monotonic < leadership.confirmedUntil
  );
}

/** Returns whether the leader has applied the first log entry of its term. */
export function hasOwnEntryApplied(board: LeaderBoard): boolean {
  const {leadership, applied} = board;
  return leadership.kind === 'leading' && applied.index >= leadership.readIndex;
}

/**
 * Returns whether this daemon leads and its lease recovery period is over, so
 * that every entry with a live lease has a session.
 */
export function isLeaseRecoveryOver(role: Role, now: TurnTime): boolean {
  return role.kind === 'leader' && computeLeaseRecoveryMs(role, now) === 0;
}
