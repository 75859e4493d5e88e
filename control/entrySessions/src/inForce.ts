import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {ConfigurationVersion, ForceStatus} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {isConfirmedLeader, readSettlingMs} from './leaderStatus.js';

/** The sections that tell what the entries have confirmed. */
export type ForceBoard = Pick<
  BoardView<ControlSections>,
  'role' | 'leadership' | 'applied' | 'sessions' | 'sessionVersions'
>;

/** Tells whether every entry that takes requests has confirmed a version. */
export function readForceStatus(
  board: ForceBoard,
  version: ConfigurationVersion,
  now: TurnTime,
): ForceStatus {
  const unconfirmed = [...iterateUnconfirmed(board, version, now)];
  const settlingMs = readSettlingMs(board.role, now);
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
  board: ForceBoard,
  version: ConfigurationVersion,
  now: TurnTime,
): IterableIterator<NodeId> {
  const from = {version: 0, node: '' as NodeId};
  const behind = iterateWhile(
    board.sessionVersions,
    from,
    key => key.version < version,
  );
  for (const {key} of behind) {
    if (board.sessions.get(key.node)!.leaseUntil > now.monotonic) {
      yield key.node;
    }
  }
}
