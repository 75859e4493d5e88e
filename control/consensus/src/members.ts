import type {Membership} from '@gentianshunt/controlModel';
import type {
  LogEntry,
  LogIndex,
  Member,
  StorageId,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ConsensusDraft} from './consensusDraft.js';

/** Lists the members in force; none before this member is in a group. */
export function listMembers(draft: ConsensusDraft): readonly Member[] {
  const memberships = draft.read('memberships');
  return memberships[memberships.length - 1]?.members ?? [];
}

/** Lists the members other than this one. */
export function listPeers(draft: ConsensusDraft): readonly Member[] {
  const {storage} = draft.view.board.identity;
  return listMembers(draft).filter(member => member.storage !== storage);
}

/** Lists the members that count in a quorum. */
export function listVoters(draft: ConsensusDraft): readonly Member[] {
  return listMembers(draft).filter(member => member.role === 'voter');
}

/** Computes the number of voters that form a quorum. */
export function computeQuorum(draft: ConsensusDraft): number {
  return Math.floor(listVoters(draft).length / 2) + 1;
}

/** Returns whether a data folder is that of a voter. */
export function isVoter(draft: ConsensusDraft, storage: StorageId): boolean {
  return listVoters(draft).some(member => member.storage === storage);
}

/** Returns whether a node is a member with this data folder. */
export function isMember(
  draft: ConsensusDraft,
  node: NodeId,
  storage: StorageId,
): boolean {
  return listMembers(draft).some(
    member => member.node === node && member.storage === storage,
  );
}

/** Returns whether this member's data folder belongs to a group. */
export function isInGroup(draft: ConsensusDraft): boolean {
  return draft.read('memberships').length > 0;
}

/**
 * Finds the highest value that a quorum of voters reaches.
 * `readValue` returns the value of one voter.
 */
export function findQuorumValue(
  draft: ConsensusDraft,
  readValue: (voter: Member) => number,
): number {
  const values = listVoters(draft)
    .map(readValue)
    .sort((left, right) => right - left);
  return values[computeQuorum(draft) - 1] ?? 0;
}

/** Puts the memberships in new entries in force, before they commit. */
export function addMemberships(
  draft: ConsensusDraft,
  entries: readonly LogEntry[],
): void {
  const named = entries.flatMap(({index, payload}): readonly Membership[] =>
    payload.kind === 'membership' ? [{index, members: payload.members}] : [],
  );
  if (named.length > 0) {
    draft.set('memberships', [...draft.read('memberships'), ...named]);
  }
}

/** Restores the membership in force before truncated entries. */
export function revertMemberships(draft: ConsensusDraft, from: LogIndex): void {
  const kept = draft
    .read('memberships')
    .filter(membership => membership.index < from);
  draft.set('memberships', kept);
}

/** Finds the members in force at an index. */
export function findMembersAt(
  memberships: readonly Membership[],
  index: LogIndex,
): readonly Member[] {
  const before = memberships.filter(membership => membership.index <= index);
  return before[before.length - 1]?.members ?? [];
}
