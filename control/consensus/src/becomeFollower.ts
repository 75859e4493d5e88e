import type {TurnTime} from '@gentianshunt/board';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Term} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import {clearJoinRequests} from './joinRequests.js';
import {resetElectionDeadline, scheduleElectionTimer} from './timing.js';

/**
 * Makes this member a follower in the given term. A higher term clears the
 * vote and any partly received snapshot.
 */
export function becomeFollower(
  draft: ConsensusDraft,
  term: Term,
  leader: NodeId | null,
  now: TurnTime,
): void {
  if (term > draft.ballot.term) {
    draft.set('ballot', {term, votedFor: null});
    draft.set('incomingSnapshot', null);
  }
  draft.set('role', {kind: 'follower', leader});
  draft.set('leadership', {kind: 'following'});
  dropProgress(draft);
  clearJoinRequests(draft);
  resetElectionDeadline(draft, now);
  scheduleElectionTimer(draft, now);
}

/** Drops what this member, as the leader, knew of its followers. */
function dropProgress(draft: ConsensusDraft): void {
  for (const node of draft.view.board.followerProgress.keys()) {
    draft.progress.delete(node);
  }
}
