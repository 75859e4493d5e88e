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
  | 'progress'
  | 'applicants';
type MemberChangeView = View<
  ControlSections,
  MemberChangeReads,
  ControlObservation
>;

/** Entries that a learner may lack when it is promoted. */
export const PROMOTION_LAG = 64;
/** A voter that has not answered for this long may lose its place. */
export const VOTER_SILENCE_MS: Milliseconds = 4_000;
/** With more voters than these, one that stays away is of no use. */
export const MIN_KEPT_VOTERS = 3;
/** Learners beyond these voters stay learners. */
export const MAX_VOTERS = 7;

/**
 * Creates the controller that admits new data folders, promotes learners and,
 * in an open group, drops voters that stay away. Only one change is under way
 * at a time, and each touches one voter.
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
      'progress',
      'applicants',
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
    admitApplicant(view, current) ??
    dropSilentVoter(view, current, now) ??
    promoteLearner(view, current)
  );
}

/**
 * Puts a new folder, as a learner, in place of the node's former one. The
 * voters left stay a majority of the nodes, so that what is committed next
 * is on several disks.
 */
function admitApplicant(
  view: MemberChangeView,
  {members}: Membership,
): readonly Member[] | undefined {
  const {applicants} = view.board;
  const majority = Math.floor(countPlaces(view, members) / 2) + 1;
  for (const [node, storage] of applicants) {
    const others = members.filter(member => member.node !== node);
    const voters = others.filter(member => member.role === 'voter').length;
    const isNew = members.every(member => member.storage !== storage);
    if (isNew && voters >= majority) {
      return [...others, {node, storage, role: 'learner'}];
    }
  }
  return undefined;
}

/** Counts the nodes that voters may stand on. */
function countPlaces(
  {board}: MemberChangeView,
  members: readonly Member[],
): number {
  const {admission, members: listed} = board.identity;
  switch (admission.kind) {
    case 'listed':
      return listed.length;
    case 'open':
      return members.length;
    default:
      return assertNever(admission, 'countPlaces');
  }
}

/**
 * Takes the place of a voter that stays away, if enough voters are left or a
 * learner can take it: a voter that is gone for good counts in every quorum.
 */
function dropSilentVoter(
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
    voters.length > MIN_KEPT_VOTERS ||
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
  const {identity, role, progress} = board;
  if (node === identity.node || role.kind !== 'leader') {
    return false;
  }
  const heardAt: MonotonicTime = Math.max(
    role.since,
    progress.get(node)?.confirmedAt ?? Number.NEGATIVE_INFINITY,
  );
  return now.monotonic - heardAt >= VOTER_SILENCE_MS;
}

/** Lists the learners that lack little. */
function listReadyLearners(
  view: MemberChangeView,
  {members}: Membership,
): readonly Member[] {
  const {logStatus, progress} = view.board;
  return members.filter(
    ({node, role}) =>
      role === 'learner' &&
      (progress.get(node)?.matchIndex ?? 0) >=
        Math.max(1, logStatus.commitIndex - PROMOTION_LAG),
  );
}

function promoteLearner(
  view: MemberChangeView,
  membership: Membership,
): readonly Member[] | undefined {
  const {members} = membership;
  const voters = members.filter(member => member.role === 'voter').length;
  const [ready, second] = listReadyLearners(view, membership);
  // An even number of voters bears no more losses than one less, and a cut
  // into halves leaves neither of them a quorum.
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
