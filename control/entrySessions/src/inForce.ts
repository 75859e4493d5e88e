import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {ControlSections, AppliedRelease} from '@gentianshunt/controlModel';
import type {ConfigurationVersion, InForceStatus} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {
  computeEntryLeaseMs,
  computeLeaseRecoveryMs,
  hasOwnEntryApplied,
  isConfirmedLeader,
  isLeaseRecoveryOver,
  MAX_ENTRY_LEASE_MS,
} from './leaderStatus.js';

/** The sections that hold the versions which the entries have confirmed. */
export type InForceBoard = Pick<
  BoardView<ControlSections>,
  'role' | 'leadership' | 'applied' | 'sessions' | 'sessionVersions'
>;

/** The sections that decide whether a release may be acknowledged. */
export type ReleaseBoard = InForceBoard &
  Pick<BoardView<ControlSections>, 'identity' | 'appliedReleases'>;

/**
 * Computes whether a version is in force: every entry with a live lease has
 * confirmed it. It is never in force during the lease recovery period, in which
 * entries without a session may still hold a lease.
 */
export function computeInForceStatus(
  board: InForceBoard,
  version: ConfigurationVersion,
  now: TurnTime,
): InForceStatus {
  const unconfirmed = [...iterateUnconfirmed(board, version, now)];
  const settlingMs = computeLeaseRecoveryMs(board.role, now);
  return {
    version,
    isInForce:
      unconfirmed.length === 0 &&
      settlingMs === 0 &&
      isConfirmedLeader(board, now),
    unconfirmed,
    settlingMs,
  };
}

/**
 * Returns whether a release may be acknowledged: no entry will use an older one
 * later than `releaseApplyMs` from now. Either every live lease has confirmed
 * the release or a later one, or those that have not end in time by themselves.
 */
export function canAcknowledgeRelease(
  board: ReleaseBoard,
  release: number,
  now: TurnTime,
): boolean {
  const [applied] = board.appliedReleases.iterateFrom(release);
  return (
    applied !== undefined &&
    hasOwnEntryApplied(board) &&
    (isConfirmedByAll(board, applied.value, now) ||
      now.monotonic + board.identity.releaseApplyMs >=
        computeLeasesEnd(board, applied.value))
  );
}

/** Returns whether all entries that may hold a lease use a release. */
function isConfirmedByAll(
  board: ReleaseBoard,
  {version}: AppliedRelease,
  now: TurnTime,
): boolean {
  const [unconfirmed] = iterateUnconfirmed(board, version, now);
  return unconfirmed === undefined && isLeaseRecoveryOver(board.role, now);
}

/**
 * Computes when the last lease that was granted before a release was applied
 * has ended. Leases of earlier leaders were granted before this one led.
 */
function computeLeasesEnd(
  {role, identity}: ReleaseBoard,
  {appliedAt}: AppliedRelease,
): MonotonicTime {
  return role.kind === 'leader'
    ? Math.max(
        role.since + MAX_ENTRY_LEASE_MS,
        appliedAt + computeEntryLeaseMs(identity),
      )
    : Number.POSITIVE_INFINITY;
}

function* iterateUnconfirmed(
  board: InForceBoard,
  version: ConfigurationVersion,
  now: TurnTime,
): IterableIterator<NodeId> {
  const from = {version: 0, node: '' as NodeId};
  const lagging = iterateWhile(
    board.sessionVersions,
    from,
    key => key.version < version,
  );
  for (const {key} of lagging) {
    if (board.sessions.get(key.node)!.leaseUntil > now.monotonic) {
      yield key.node;
    }
  }
}
