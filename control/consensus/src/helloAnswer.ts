// A member answers the hello of a node that starts. The leader also records a
// node that is not a member as joining; the member change controller admits it.

import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';

import type {ConsensusDraft} from './consensusDraft.js';
import {recordJoinRequest} from './joinRequests.js';
import {recordLostFolder} from './lostFolders.js';
import {isInGroup, isMember, listMembers} from './members.js';
import type {MemberHello, Sender} from './messageTypes.js';

/** What a reply returns of the hello; `null` if there was none. */
interface AnsweredHello {
  readonly formed: boolean;
  readonly start: number | null;
}

/**
 * Answers a starting member's hello. A leader also records a node that is not
 * a member yet as a joining node.
 */
export function handleHello(
  draft: ConsensusDraft,
  from: Sender,
  hello: MemberHello,
  now: TurnTime,
): void {
  const {node, storage} = from;
  replyHello(draft, from, hello, now);
  const {admission, bootstrapMembers} = draft.view.board.identity;
  const isAdmissible =
    admission.kind === 'open' || bootstrapMembers.includes(node);
  const isNew = !hello.formed && !isMember(draft, node, storage);
  if (draft.role.kind === 'leader' && isAdmissible && isNew) {
    recordLostFolder(draft, node, now);
    recordJoinRequest(draft, from, now);
  }
}

/**
 * Reports the group's members and the remembered position of a data folder, of
 * which its node has said whether it belongs to a group.
 */
export function replyHello(
  draft: ConsensusDraft,
  to: Sender,
  {formed, start}: AnsweredHello,
  now: TurnTime,
): void {
  const {node, storage} = to;
  const position = draft.rememberedPositions.get(node);
  draft.sendAfterSync(
    {node, storage},
    {
      kind: 'memberHelloReply',
      formed,
      start,
      leaderless: isLeaderless(draft),
      term: draft.ballot.term,
      members: isInGroup(draft) ? listMembers(draft) : null,
      leading: isConfirmedLeader(draft, now),
      witness:
        position?.storage === storage
          ? {term: position.term, index: position.index}
          : null,
    },
  );
}

/**
 * Returns whether this member neither leads nor has had contact with a leader
 * since it started.
 */
function isLeaderless({role, election}: ConsensusDraft): boolean {
  return role.kind !== 'leader' && election.leaderContact.kind !== 'contacted';
}

/**
 * Returns whether this member holds the leader lease and its latest membership
 * is committed.
 */
function isConfirmedLeader(draft: ConsensusDraft, now: TurnTime): boolean {
  const leadership = draft.read('leadership');
  const memberships = draft.read('memberships');
  const {commitIndex} = draft.status;
  return (
    leadership.kind === 'leading' &&
    isLeaseValid(leadership.lease, now) &&
    commitIndex >= leadership.readIndex &&
    memberships.every(membership => membership.index <= commitIndex)
  );
}
