/** How long the members have not answered their leader. */
import type {Instant, Milliseconds} from '@gentianshunt/clock';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Member} from '@gentianshunt/messages';

import type {FollowerProgress, Membership, Role} from './role.js';
import type {ControlIdentity} from './sections.js';

/**
 * A member that has not answered for this long is silent. It is shorter than
 * the lease of a leader, so that one whose lease lapses can tell why.
 */
export const MEMBER_CONTACT_TIMEOUT_MS: Milliseconds = 600;

/** The sections that show which members answer. */
export interface ContactBoard {
  readonly identity: ControlIdentity;
  readonly role: Role;
  readonly memberships: readonly Membership[];
  readonly followerProgress: ReadonlyMap<NodeId, FollowerProgress>;
}

/** Lists the latest members; none before this member is in a group. */
export function listLatestMembers({
  memberships,
}: Pick<ContactBoard, 'memberships'>): readonly Member[] {
  return memberships[memberships.length - 1]?.members ?? [];
}

/** Lists the latest members that count in a quorum. */
export function listLatestVoters(
  board: Pick<ContactBoard, 'memberships'>,
): readonly Member[] {
  return listLatestMembers(board).filter(({role}) => role === 'voter');
}

/** Measures since when a member has not answered; `null` unless this one leads. */
export function measureSilence(
  {identity, role, followerProgress}: ContactBoard,
  {node, storage}: Member,
  now: Instant,
): Milliseconds | null {
  if (role.kind !== 'leader') {
    return null;
  }
  if (storage === identity.storage) {
    return 0;
  }
  const confirmedAt = followerProgress.get(node)?.confirmedAt;
  return now.monotonic - Math.max(role.since, confirmedAt ?? role.since);
}

/** Returns whether a member has not answered this leader lately. */
export function isSilentMember(
  board: ContactBoard,
  member: Member,
  now: Instant,
): boolean {
  const silentMs = measureSilence(board, member, now) ?? 0;
  return silentMs >= MEMBER_CONTACT_TIMEOUT_MS;
}
