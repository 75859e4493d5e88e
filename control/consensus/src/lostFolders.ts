// A node that asks to join with a new data folder has lost the one by which it
// is a member. Until that one is replaced, the leader counts no copy on it.

import type {TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {FollowerProgress} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {LogIndex} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';

/** Records that a node has lost the data folder by which it is a member. */
export function recordLostFolder(
  draft: ConsensusDraft,
  node: NodeId,
  now: TurnTime,
): void {
  const progress = draft.progress.get(node);
  if (progress !== undefined && progress.lostSince === null) {
    draft.progress.put(node, {...progress, lostSince: now.monotonic});
  }
}

/** Reads up to which index a data folder is known to hold the log. */
export function readCopiedIndex(
  progress: FollowerProgress | undefined,
): LogIndex {
  return progress === undefined || progress.lostSince !== null
    ? 0
    : progress.matchIndex;
}

/**
 * Checks an answer of a member's folder to a request sent at `sentAt`. Returns
 * false if the folder may have been lost since. An answer to a later request
 * shows that the node's request to join was an old one.
 */
export function confirmFolder(
  draft: ConsensusDraft,
  node: NodeId,
  sentAt: MonotonicTime,
): boolean {
  const progress = draft.progress.get(node)!;
  const {lostSince} = progress;
  if (lostSince === null) {
    return true;
  }
  if (sentAt <= lostSince) {
    return false;
  }
  draft.progress.put(node, {...progress, lostSince: null});
  draft.joiningNodes.delete(node);
  return true;
}
