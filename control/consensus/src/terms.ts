import type {TurnTime} from '@gentianshunt/board';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Term} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import {armElection, waitForLeader} from './timing.js';

/** Follows the given term; a higher term ends any other role. */
export function followTerm(
  draft: ConsensusDraft,
  term: Term,
  leader: NodeId | null,
  now: TurnTime,
): void {
  if (term > draft.ballot.term) {
    draft.set('ballot', {term, votedFor: null});
    draft.set('incoming', null);
  }
  draft.set('role', {kind: 'follower', leader});
  draft.set('leadership', {kind: 'following'});
  waitForLeader(draft, now);
  armElection(draft, now);
}
