import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
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

/** Why a release is not acknowledged yet, and for how long at most. */
export type AcknowledgementDelay =
  | {readonly kind: 'notApplied'}
  /** The first entry of the leader's term is not applied yet. */
  | {readonly kind: 'ownEntryNotApplied'}
  /** Leases of an earlier leader may last beyond the bound. */
  | {readonly kind: 'leaseRecovery'; readonly remainingMs: Milliseconds}
  /** The lease of an entry that has not confirmed it does. */
  | {
      readonly kind: 'entryLease';
      readonly node: NodeId;
      readonly remainingMs: Milliseconds;
    };

/**
 * Finds why a release must not be acknowledged yet; `undefined` if it may be. It
 * may once no entry will use an older one later than `releaseApplyMs` from now.
 * Leases of earlier leaders, and those of entries that have not confirmed the
 * release, end in time by themselves.
 */
export function findAcknowledgementDelay(
  board: ReleaseBoard,
  release: number,
  now: TurnTime,
): AcknowledgementDelay | undefined {
  const [applied] = board.appliedReleases.iterateFrom(release);
  if (applied === undefined) {
    return {kind: 'notApplied'};
  }
  if (!hasOwnEntryApplied(board)) {
    return {kind: 'ownEntryNotApplied'};
  }
  const {releaseApplyMs} = board.identity;
  const recoveryMs = computeLeaseRecoveryMs(board.role, now) - releaseApplyMs;
  return recoveryMs > 0
    ? {kind: 'leaseRecovery', remainingMs: recoveryMs}
    : findLeaseDelay(board, applied.value, now);
}

/** Returns whether a release may be acknowledged. */
export function canAcknowledgeRelease(
  board: ReleaseBoard,
  release: number,
  now: TurnTime,
): boolean {
  return findAcknowledgementDelay(board, release, now) === undefined;
}

/**
 * Finds the entry that has not confirmed a release and whose lease lasts longest
 * beyond the bound. A lease that was renewed after the release was applied
 * includes it.
 */
function findLeaseDelay(
  board: ReleaseBoard,
  {version, appliedAt}: AppliedRelease,
  now: TurnTime,
): AcknowledgementDelay | undefined {
  const {identity} = board;
  const harmlessUntil = now.monotonic + identity.releaseApplyMs;
  const latestEnd = appliedAt + computeEntryLeaseMs(identity);
  if (latestEnd <= harmlessUntil) {
    return undefined;
  }
  let longest: EntrySession | undefined;
  for (const session of iterateLagging(board, version)) {
    if (longest === undefined || session.leaseUntil > longest.leaseUntil) {
      longest = session;
    }
  }
  if (longest === undefined || longest.leaseUntil <= harmlessUntil) {
    return undefined;
  }
  const end = Math.min(latestEnd, longest.leaseUntil);
  const {node} = longest.entry;
  return {kind: 'entryLease', node, remainingMs: end - harmlessUntil};
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
