import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  Membership,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Member} from '@gentianshunt/messages';

type MemberChangeReads =
  | 'identity'
  | 'role'
  | 'leadership'
  | 'logStatus'
  | 'memberships'
  | 'followerProgress'
  | 'joiningNodes';
type MemberChangeView = View<
  ControlSections,
  MemberChangeReads,
  ControlObservation
>;

/** Committed entries that a learner may lack when it becomes a voter. */
export const MAX_PROMOTION_LAG_ENTRIES = 64;
/** A voter that has not answered for this long may be removed. */
export const VOTER_SILENT_TIMEOUT_MS: Milliseconds = 4_000;
/** With more voters than this, a silent one is removed without replacement. */
export const MIN_VOTERS = 3;
/** No learner is promoted once there are this many voters. */
export const MAX_VOTERS = 7;

/**
 * Creates the controller that admits new data folders as learners, promotes
 * learners to voters and, in an open group, removes silent voters. Only one
 * change is uncommitted at a time, and each adds or removes at most one voter,
 * so that the quorums before and after it overlap.
 */
export function createMemberChangeController(): ControlController {
  return defineControlController<MemberChangeReads, 'memberProposals'>({
    name: 'memberChanges',
    reads: [
      'identity',
      'role',
      'leadership',
      'logStatus',
      'memberships',
      'followerProgress',
      'joiningNodes',
    ],
    writes: ['memberProposals'],
    observes: ['timerDue'],
    run: (view, now) => {
      const members = proposeMembers(view, now);
      return members === undefined
        ? []
        : [
            {
              kind: 'set',
              section: 'memberProposals',
              value: [{kind: 'membership', members}],
            },
          ];
    },
  });
}

function proposeMembers(
  view: MemberChangeView,
  now: TurnTime,
): readonly Member[] | undefined {
  const {leadership, logStatus, memberships} = view.board;
  const current = memberships[memberships.length - 1];
  if (
    leadership.kind !== 'leading' ||
    current === undefined ||
    logStatus.commitIndex < leadership.readIndex ||
    logStatus.commitIndex < current.index
  ) {
    return undefined;
  }
  return (
    admitJoiningNode(view, current) ??
    removeSilentVoter(view, current, now) ??
    promoteLearner(view, current)
  );
}

/**
 * Admits a joining node's data folder as a learner; it replaces the node's
 * former folder. The remaining voters must be a majority of the nodes, so that
 * entries committed next are on several disks.
 */
function admitJoiningNode(
  view: MemberChangeView,
  {members}: Membership,
): readonly Member[] | undefined {
  const {joiningNodes} = view.board;
  const majority = Math.floor(countVoterNodes(view, members) / 2) + 1;
  for (const [node, storage] of joiningNodes) {
    const others = members.filter(member => member.node !== node);
    const voters = others.filter(member => member.role === 'voter').length;
    const isNew = members.every(member => member.storage !== storage);
    if (isNew && voters >= majority) {
      return [...others, {node, storage, role: 'learner'}];
    }
  }
  return undefined;
}

/** Counts the nodes that voters can run on. */
function countVoterNodes(
  {board}: MemberChangeView,
  members: readonly Member[],
): number {
  const {admission, bootstrapMembers: listed} = board.identity;
  switch (admission.kind) {
    case 'listed':
      return listed.length;
    case 'open':
      return members.length;
    default:
      return assertNever(admission, 'countVoterNodes');
  }
}

/**
 * Removes a voter that is silent, if enough voters remain or a learner can
 * replace it. A voter that has failed for good would still count in every
 * quorum.
 */
function removeSilentVoter(
  view: MemberChangeView,
  membership: Membership,
  now: TurnTime,
): readonly Member[] | undefined {
  const {identity} = view.board;
  if (identity.admission.kind !== 'open') {
    return undefined;
  }
  const {members} = membership;
  const voters = members.filter(member => member.role === 'voter');
  const isReplaceable =
    voters.length > MIN_VOTERS ||
    listReadyLearners(view, membership).length > 0;
  const silent = isReplaceable
    ? voters.find(({node}) => isSilent(view, node, now))
    : undefined;
  return silent && members.filter(member => member !== silent);
}

function isSilent(
  {board}: MemberChangeView,
  node: NodeId,
  now: TurnTime,
): boolean {
  const {identity, role, followerProgress} = board;
  if (node === identity.node || role.kind !== 'leader') {
    return false;
  }
  const lastContactAt: MonotonicTime = Math.max(
    role.since,
    followerProgress.get(node)?.confirmedAt ?? Number.NEGATIVE_INFINITY,
  );
  return now.monotonic - lastContactAt >= VOTER_SILENT_TIMEOUT_MS;
}

/** Lists the learners whose log is almost up to date. */
function listReadyLearners(
  view: MemberChangeView,
  {members}: Membership,
): readonly Member[] {
  const {logStatus, followerProgress} = view.board;
  return members.filter(
    ({node, role}) =>
      role === 'learner' &&
      (followerProgress.get(node)?.matchIndex ?? 0) >=
        Math.max(1, logStatus.commitIndex - MAX_PROMOTION_LAG_ENTRIES),
  );
}

function promoteLearner(
  view: MemberChangeView,
  membership: Membership,
): readonly Member[] | undefined {
  const {members} = membership;
  const voters = members.filter(member => member.role === 'voter').length;
  const [ready, second] = listReadyLearners(view, membership);
  // The number of voters is kept odd. An even number tolerates no more failures
  // than one voter less, and a partition into halves leaves no quorum.
  const isOdd = voters % 2 === 1;
  if (
    ready === undefined ||
    voters >= MAX_VOTERS ||
    (isOdd && second === undefined)
  ) {
    return undefined;
  }
  return members.map(member =>
    member === ready ? {...member, role: 'voter'} : member,
  );
}
