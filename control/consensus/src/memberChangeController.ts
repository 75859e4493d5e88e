import type {View} from '@gentianshunt/board';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  Membership,
} from '@gentianshunt/controlModel';
import type {Member} from '@gentianshunt/messages';

type MemberChangeReads =
  | 'identity'
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

/**
 * Creates the controller that admits new data folders and promotes learners.
 * Only one change is under way at a time, and each touches one voter.
 */
export function createMemberChangeController(): ControlController {
  return defineControlController<MemberChangeReads, 'memberProposals'>({
    name: 'memberChanges',
    reads: [
      'identity',
      'leadership',
      'logStatus',
      'memberships',
      'progress',
      'applicants',
    ],
    writes: ['memberProposals'],
    observes: [],
    run: view => {
      const members = proposeMembers(view);
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

function proposeMembers(view: MemberChangeView): readonly Member[] | undefined {
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
  return admitApplicant(view, current) ?? promoteLearner(view, current);
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
  const {identity, applicants} = view.board;
  const majority = Math.floor(identity.members.length / 2) + 1;
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

function promoteLearner(
  view: MemberChangeView,
  {members}: Membership,
): readonly Member[] | undefined {
  const {logStatus, progress} = view.board;
  const ready = members.find(
    ({node, role}) =>
      role === 'learner' &&
      (progress.get(node)?.matchIndex ?? 0) >=
        Math.max(1, logStatus.commitIndex - PROMOTION_LAG),
  );
  if (ready === undefined) {
    return undefined;
  }
  return members.map(member =>
    member === ready ? {...member, role: 'voter'} : member,
  );
}
