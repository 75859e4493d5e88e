/** Which configuration versions are in force, as the leader knows. */
import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {ControlSections} from '@gentianshunt/controlModel';
import {
  computeLeaseRecoveryMs,
  isConfirmedLeader,
} from '@gentianshunt/entrySessions';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ConfigurationVersion} from '@gentianshunt/messages';

/** The sections that decide which versions are in force. */
export type ForceReads =
  'role' | 'leadership' | 'applied' | 'sessions' | 'sessionVersions';
type ForceBoard = Pick<BoardView<ControlSections>, ForceReads>;

/**
 * Finds the highest version that is in force: every session has confirmed it,
 * and no entry without a session can hold a lease. Returns 0 if none is known
 * to be.
 */
export function findInForce(
  board: ForceBoard,
  now: TurnTime,
): ConfigurationVersion {
  const isKnown =
    computeLeaseRecoveryMs(board.role, now) === 0 &&
    isConfirmedLeader(board, now);
  if (!isKnown) {
    return 0;
  }
  const lowest = board.sessionVersions.readFirst();
  return lowest?.key.version ?? board.applied.version;
}

/** The entries that keep a version from being in force. */
export interface Lagging {
  readonly nodes: readonly NodeId[];
  /** The remaining lease recovery period of a new leader. */
  readonly settlingMs: Milliseconds;
}

/** Lists the entries with a session that have not confirmed a version. */
export function listLagging(
  board: ForceBoard,
  version: ConfigurationVersion,
  now: TurnTime,
): Lagging {
  const lagging = iterateWhile(
    board.sessionVersions,
    {version: 0, node: '' as NodeId},
    key => key.version < version,
  );
  return {
    nodes: Array.from(lagging, ({key}) => key.node),
    settlingMs: computeLeaseRecoveryMs(board.role, now),
  };
}
