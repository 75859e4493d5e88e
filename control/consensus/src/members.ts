import type {Membership} from '@gentianshunt/controlModel';
import type {
  LogEntry,
  LogIndex,
  Member,
  StorageId,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ConsensusDraft} from './consensusDraft.js';

/** Lists the members in force; none before the deployment is formed. */
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

/** Counts the votes that decide. */
export function readQuorum(draft: ConsensusDraft): number {
  return Math.floor(listVoters(draft).length / 2) + 1;
}

/** Tells whether a data folder counts in a quorum. */
export function isVoter(draft: ConsensusDraft, storage: StorageId): boolean {
  return listVoters(draft).some(member => member.storage === storage);
}

/** Tells whether a node takes part with this very data folder. */
export function isMember(
  draft: ConsensusDraft,
  node: NodeId,
  storage: StorageId,
): boolean {
  return listMembers(draft).some(
    member => member.node === node && member.storage === storage,
  );
}

/** Tells whether this member belongs to a deployment. */
export function isFormed(draft: ConsensusDraft): boolean {
  return draft.read('memberships').length > 0;
}

/**
 * Finds the highest value that a quorum of voters reaches.
 * `readValue` tells the value of one voter.
 */
export function findQuorumValue(
  draft: ConsensusDraft,
  readValue: (voter: Member) => number,
): number {
  const values = listVoters(draft)
    .map(readValue)
    .sort((left, right) => right - left);
  return values[readQuorum(draft) - 1] ?? 0;
}

/** Puts the members that entries name in force. */
export function noteMemberships(
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

/** Puts back the members that were in force before an index. */
export function revertMemberships(draft: ConsensusDraft, from: LogIndex): void {
  const kept = draft
    .read('memberships')
    .filter(membership => membership.index < from);
  draft.set('memberships', kept);
}

/** Finds the members in force at an index. */
export function findMembers(
  memberships: readonly Membership[],
  index: LogIndex,
): readonly Member[] {
  const before = memberships.filter(membership => membership.index <= index);
  return before[before.length - 1]?.members ?? [];
}
