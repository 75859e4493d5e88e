// A member that has started grants no vote for a while, as a leader that reached
// it just before may hold the leader lease. If all voters answer, in this start,
// that they neither lead nor have had contact with a leader, nobody holds it,
// and the election may begin.

import type {TurnTime} from '@gentianshunt/board';
import type {HelloAnswer} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Member} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import {listVoters} from './members.js';
import {
  LEADER_STICKINESS_MS,
  scheduleFirstElection,
  setLeaderContact,
} from './timing.js';

type Answers = ReadonlyMap<NodeId, HelloAnswer>;

/** Returns whether this member may still support a leader from before. */
export function isAwaitingVoters(
  draft: ConsensusDraft,
  now: TurnTime,
): boolean {
  const {leaderContact} = draft.election;
  return (
    draft.read('startCheck').kind === 'ready' &&
    leaderContact.kind === 'started' &&
    now.monotonic - leaderContact.at < LEADER_STICKINESS_MS
  );
}

/** Ends the wait if all voters have answered that no leader can be. */
export function endStartWait(draft: ConsensusDraft, now: TurnTime): void {
  const check = draft.read('startCheck');
  if (
    check.kind === 'ready' &&
    isAwaitingVoters(draft, now) &&
    hasLeaderlessVoters(draft, check.answers)
  ) {
    setLeaderContact(draft, {kind: 'none'});
    scheduleFirstElection(draft, now);
  }
}

/**
 * Returns whether all voters are leaderless. This member's own log may lack the
 * latest members, so the voters that the others know must answer as well.
 */
function hasLeaderlessVoters(draft: ConsensusDraft, answers: Answers): boolean {
  const {node: self} = draft.view.board.identity;
  const voters = [
    ...listVoterNodes(listVoters(draft)),
    ...[...answers.values()].flatMap(answer => answer.voters),
  ];
  return voters.every(
    node => node === self || answers.get(node)?.leaderless === true,
  );
}

/** Lists the nodes of the voters among members. */
export function listVoterNodes(members: readonly Member[]): readonly NodeId[] {
  return members.filter(({role}) => role === 'voter').map(({node}) => node);
}
