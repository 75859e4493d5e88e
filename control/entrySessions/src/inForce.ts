import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {ConfigurationVersion, InForceStatus} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {computeLeaseRecoveryMs, isConfirmedLeader} from './leaderStatus.js';

/** The sections that hold the versions which the entries have confirmed. */
export type InForceBoard = Pick<
  BoardView<ControlSections>,
  'role' | 'leadership' | 'applied' | 'sessions' | 'sessionVersions'
>;

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
