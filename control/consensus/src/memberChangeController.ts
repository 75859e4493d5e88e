import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  JoinRequest,
  Membership,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Member} from '@gentianshunt/messages';

import {isJoinRequestValid} from './joinRequests.js';

type MemberChangeReads =
  | 'identity'
  | 'leadership'
  | 'logStatus'
  | 'memberships'
  | 'followerProgress'
  | 'joiningNodes';
type JoiningNode = JoinRequest & {readonly node: NodeId};
type MemberChangeView = View<
  ControlSections,
  MemberChangeReads,
  ControlObservation
>;

/** Committed entries that a learner may lack when it becomes a voter. */
export const MAX_PROMOTION_LAG_ENTRIES = 64;
/** A member that has not answered for this long may be removed. */
export const MEMBER_SILENT_TIMEOUT_MS: Milliseconds = 4_000;
/** A voter that has not answered for this long gives way to a learner. */
export const VOTER_SILENT_TIMEOUT_MS: Milliseconds = 2_000;
/** A learner that has not answered for this long is not promoted. */
export const LEARNER_CONTACT_TIMEOUT_MS: Milliseconds = 1_000;
/** With more voters than this, a silent one is demoted without replacement. */
export const MIN_VOTERS = 3;
/** No learner is promoted once there are this many voters. */
export const MAX_VOTERS = 7;

/**
 * Creates the controller that admits new data folders as learners, promotes
 * learners to voters and, in an open group, demotes silent voters and removes
 * silent learners. Only one change is uncommitted at a time, and each adds or
 * removes at most one voter, so that the quorums before and after it overlap.
 */
export function createMemberChangeController(): ControlController {
  return defineControlController<MemberChangeReads, 'memberProposals'>({
    name: 'memberChanges',
    reads: [
      'identity',
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
    admitJoiningNode(view, current, now) ??
    demoteSilentVoter(view, current, now) ??
    promoteLearner(view, current, now) ??
    removeSilentLearner(view, current, now)
  );
}

/**
 * Admits a joining node's data folder as a learner; it replaces the node's
 * former folder. The remaining voters must be a majority of those that counted
 * before, so that entries committed next are on several disks.
 */
function admitJoiningNode(
  view: MemberChangeView,
  {members}: Membership,
  now: TurnTime,
): readonly Member[] | undefined {
  const majority = Math.floor(countRequiredVoters(view, members) / 2) + 1;
  for (const {node, storage} of listJoining(view, members, now)) {
    const others = members.filter(member => member.node !== node);
    if (others.filter(isVoting).length >= majority) {
      return [...others, {node, storage, role: 'learner'}];
    }
  }
  return undefined;
}

/** Lists the nodes that ask to join by the time of their requests. */
function listJoining(
  {board}: MemberChangeView,
  members: readonly Member[],
  now: TurnTime,
): readonly JoiningNode[] {
  return [...board.joiningNodes]
    .filter(
      ([, request]) =>
        isJoinRequestValid(request, now) &&
        members.every(({storage}) => storage !== request.storage),
    )
    .map(([node, request]): JoiningNode => ({node, ...request}))
    .sort((left, right) => left.since - right.since);
}

/**
 * Counts the voters of which an admission must leave a majority. In an open
 * group the number of nodes is no measure, as only some of them are voters.
 */
function countRequiredVoters(
  {board}: MemberChangeView,
  members: readonly Member[],
): number {
  const {admission, bootstrapMembers: listed} = board.identity;
  switch (admission.kind) {
    case 'listed':
      return listed.length;
    case 'open':
      return members.filter(isVoting).length;
    default:
      return assertNever(admission, 'countRequiredVoters');
  }
}

function isVoting({role}: Member): boolean {
  return role === 'voter';
}

/**
 * Demotes a voter that is silent, if enough voters remain or a learner can
 * replace it. A voter that has failed for good would still count in every
 * quorum. A demoted voter keeps its data folder and may be promoted again.
 */
function demoteSilentVoter(
  view: MemberChangeView,
  membership: Membership,
  now: TurnTime,
): readonly Member[] | undefined {
  const {identity} = view.board;
  if (identity.admission.kind !== 'open') {
    return undefined;
  }
  const {members} = membership;
  const voters = members.filter(isVoting);
  const isReplaceable =
    voters.length > MIN_VOTERS ||
    listReadyLearners(view, membership, now).length > 0;
  const silent = isReplaceable
    ? voters.find(({node}) =>
        isSilent(view, node, now, VOTER_SILENT_TIMEOUT_MS),
      )
    : undefined;
  return silent && changeRole(members, silent, 'learner');
}

/** Removes a learner that is silent, as it may never return. */
function removeSilentLearner(
  view: MemberChangeView,
  {members}: Membership,
  now: TurnTime,
): readonly Member[] | undefined {
  if (view.board.identity.admission.kind !== 'open') {
    return undefined;
  }
  const silent = members.find(
    member =>
      !isVoting(member) &&
      isSilent(view, member.node, now, MEMBER_SILENT_TIMEOUT_MS),
  );
  return silent && members.filter(member => member !== silent);
}

function changeRole(
  members: readonly Member[],
  changed: Member,
  role: Member['role'],
): readonly Member[] {
  return members.map(member =>
    member === changed ? {...member, role} : member,
  );
}

function isSilent(
  {board}: MemberChangeView,
  node: NodeId,
  now: TurnTime,
  timeoutMs: Milliseconds,
): boolean {
  // The leader has no progress of itself.
  const progress = board.followerProgress.get(node);
  if (progress === undefined) {
    return false;
  }
  const lastContactAt = Math.max(progress.since, progress.confirmedAt);
  return now.monotonic - lastContactAt >= timeoutMs;
}

/** Lists the learners that answer and whose log is almost up to date. */
function listReadyLearners(
  view: MemberChangeView,
  {members}: Membership,
  now: TurnTime,
): readonly Member[] {
  const {logStatus, followerProgress} = view.board;
  const minMatchIndex = Math.max(
    1,
    logStatus.commitIndex - MAX_PROMOTION_LAG_ENTRIES,
  );
  return members.filter(member => {
    const progress = followerProgress.get(member.node);
    return (
      !isVoting(member) &&
      progress !== undefined &&
      progress.matchIndex >= minMatchIndex &&
      now.monotonic - progress.confirmedAt < LEARNER_CONTACT_TIMEOUT_MS
    );
  });
}

function promoteLearner(
  view: MemberChangeView,
  membership: Membership,
  now: TurnTime,
): readonly Member[] | undefined {
  const {members} = membership;
  const voters = members.filter(isVoting).length;
  const [ready, second] = listReadyLearners(view, membership, now);
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
  return changeRole(members, ready, 'voter');
}
