import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  ControlSections,
  EntrySession,
  AppliedRelease,
} from '@gentianshunt/controlModel';
import type {ConfigurationVersion, InForceStatus} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {
  computeEntryLeaseMs,
  computeLeaseRecoveryMs,
  hasOwnEntryApplied,
  isConfirmedLeader,
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
  const unconfirmed = [...iterateLagging(board, version)]
    .filter(({leaseUntil}) => leaseUntil > now.monotonic)
    .map(({entry}) => entry.node);
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
 * later than `releaseApplyMs` from now. Leases of earlier leaders, and those of
 * entries that have not confirmed the release, end in time by themselves.
 */
export function canAcknowledgeRelease(
  board: ReleaseBoard,
  release: number,
  now: TurnTime,
): boolean {
  const [applied] = board.appliedReleases.iterateFrom(release);
  const {releaseApplyMs} = board.identity;
  return (
    applied !== undefined &&
    hasOwnEntryApplied(board) &&
    computeLeaseRecoveryMs(board.role, now) <= releaseApplyMs &&
    !hasOlderLeaseAt(board, applied.value, now.monotonic + releaseApplyMs)
  );
}

/**
 * Returns whether a lease of this leader may be valid at a time without its
 * entry having confirmed a release. A lease that was renewed after the release
 * was applied includes it.
 */
function hasOlderLeaseAt(
  board: ReleaseBoard,
  {version, appliedAt}: AppliedRelease,
  at: MonotonicTime,
): boolean {
  if (appliedAt + computeEntryLeaseMs(board.identity) <= at) {
    return false;
  }
  for (const {leaseUntil} of iterateLagging(board, version)) {
    if (leaseUntil > at) {
      return true;
    }
  }
  return false;
}

/** Iterates over the sessions of entries that have not confirmed a version. */
function* iterateLagging(
  {sessions, sessionVersions}: InForceBoard,
  version: ConfigurationVersion,
): IterableIterator<EntrySession> {
  const from = {version: 0, node: '' as NodeId};
  const lagging = iterateWhile(
    sessionVersions,
    from,
    key => key.version < version,
  );
  for (const {key} of lagging) {
    yield sessions.get(key.node)!;
  }
}
