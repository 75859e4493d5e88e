import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  AppliedStatus,
  ControlIdentity,
  Leadership,
  Role,
} from '@gentianshunt/controlModel';
import type {UnconfirmedReason} from '@gentianshunt/messages';

export type {UnconfirmedReason} from '@gentianshunt/messages';

/** Longest lease under which an entry uses its configuration. */
export const MAX_ENTRY_LEASE_MS: Milliseconds = 3_000;
/** Shortest lease; it outlasts an election and the search for the new leader. */
export const MIN_ENTRY_LEASE_MS: Milliseconds = 2_500;
/**
 * Longest wait of an acknowledgement for the lease of a silent entry, as far as
 * the bounds of the lease permit. An operator leaves after a second.
 */
const MAX_ACKNOWLEDGEMENT_WAIT_MS: Milliseconds = 500;

/**
 * Computes the lifetime of the leases that this daemon grants. A lease that is
 * not renewed ends `releaseApplyMs` after the acknowledgement of a release at
 * the latest, so a longer one delays acknowledgements while an entry is silent.
 */
export function computeEntryLeaseMs({
  releaseApplyMs,
}: Pick<ControlIdentity, 'releaseApplyMs'>): Milliseconds {
  const wanted = releaseApplyMs + MAX_ACKNOWLEDGEMENT_WAIT_MS;
  return Math.min(MAX_ENTRY_LEASE_MS, Math.max(MIN_ENTRY_LEASE_MS, wanted));
}

/**
 * Computes the remaining time of the lease recovery period, in which leases of
 * an earlier leader may still be valid. Until it ends, a new leader may have no
 * session of an entry that uses a configuration. An earlier leader may have had
 * other settings, so the period is the longest lease that any may grant.
 */
export function computeLeaseRecoveryMs(
  role: Role,
  now: TurnTime,
): Milliseconds {
  return role.kind === 'leader'
    ? Math.max(0, role.since + MAX_ENTRY_LEASE_MS - now.monotonic)
    : MAX_ENTRY_LEASE_MS;
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
  return findUnconfirmedReason(board, now) === undefined;
}

/** Finds why this daemon may not answer entries; `undefined` if it may. */
export function findUnconfirmedReason(
  {leadership, applied}: LeaderBoard,
  now: TurnTime,
): UnconfirmedReason | undefined {
  if (leadership.kind !== 'leading') {
    return 'notLeading';
  }
  if (applied.index < leadership.readIndex) {
    return 'ownEntryNotApplied';
  }
  return isLeaseValid(leadership.lease, now) ? undefined : 'leaderLeaseLapsed';
}

/**
 * Returns whether a request that arrived at a time may be answered. Without a
 * valid leader lease, it may once a quorum has answered a request that the
 * leader sent after the arrival: no other daemon had been elected by then.
 */
export function canAnswer(
  board: LeaderBoard,
  receivedAt: MonotonicTime,
  now: TurnTime,
): boolean {
  const {leadership} = board;
  return (
    isConfirmedLeader(board, now) ||
    (hasOwnEntryApplied(board) &&
      leadership.kind === 'leading' &&
      leadership.confirmedSince > receivedAt)
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
