/** Logs when the same membership comes in force again and again. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  MemberChanges,
  Membership,
  RecentMembership,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Member} from '@gentianshunt/messages';

import {GROUP_LOG_INTERVAL_MS} from './copyController.js';

/** Equal memberships within this time count as repetitions. */
export const REPETITION_WINDOW_MS: Milliseconds = 10_000;
/** Times that a membership comes in force within the window before it is logged. */
export const MIN_REPETITIONS = 3;
/** Memberships of the window that are remembered. */
const MAX_RECENT_MEMBERSHIPS = 128;

type ChangeReads = 'role' | 'memberships' | 'memberChanges';
type ChangeView = View<ControlSections, ChangeReads, ControlObservation>;
type ChangeWrite = ControlWrite<'memberChanges'>;

/** Creates the controller that counts the membership changes. */
export function createMemberCountController(): ControlController {
  return defineControlController<ChangeReads, 'memberChanges'>({
    name: 'memberCounts',
    reads: ['role', 'memberships', 'memberChanges'],
    writes: ['memberChanges'],
    observes: [],
    run: (view, now) => {
      const {memberships, memberChanges: before} = view.board;
      const latest = memberships[memberships.length - 1];
      return latest === undefined || latest.index === before.index
        ? []
        : recordChange(view, before, latest, now);
    },
  });
}

function recordChange(
  {board}: ChangeView,
  before: MemberChanges,
  latest: Membership,
  now: TurnTime,
): readonly ChangeWrite[] {
  const from = before.index;
  const added = board.memberships.filter(
    ({index}) => from !== null && index > from,
  );
  const recent = [
    ...before.recent.filter(
      ({at}) => now.monotonic - at < REPETITION_WINDOW_MS,
    ),
    ...added.map(({members}) => createRecent(members, now)),
  ].slice(-MAX_RECENT_MEMBERSHIPS);
  const repetitions = countLatest(recent);
  const isLogged =
    board.role.kind === 'leader' &&
    repetitions >= MIN_REPETITIONS &&
    now.monotonic - before.loggedAt >= GROUP_LOG_INTERVAL_MS;
  return [
    {
      kind: 'set',
      section: 'memberChanges',
      value: {
        index: latest.index,
        count: before.count + added.length,
        recent,
        loggedAt: isLogged ? now.monotonic : before.loggedAt,
      },
    },
    ...(isLogged
      ? [
          createDecisionWrite({
            kind: 'membersRepeating',
            index: latest.index,
            changes: recent.length,
            repetitions,
            windowMs: REPETITION_WINDOW_MS,
            nodes: listChangedNodes(board.memberships),
          }),
        ]
      : []),
  ];
}

function createRecent(
  members: readonly Member[],
  now: TurnTime,
): RecentMembership {
  const digest = members.map(formatMember).sort().join(' ');
  return {digest, at: now.monotonic};
}

function formatMember({node, storage, role}: Member): string {
  return `${node}/${storage}/${role}`;
}

/** Counts how often the latest membership came in force. */
function countLatest(recent: readonly RecentMembership[]): number {
  const latest = recent[recent.length - 1]?.digest;
  return recent.filter(({digest}) => digest === latest).length;
}

/** Lists the nodes that differ between the two latest memberships. */
function listChangedNodes(
  memberships: readonly Membership[],
): readonly NodeId[] {
  const [before, after] = memberships.slice(-2).map(({members}) => members);
  if (before === undefined || after === undefined) {
    return [];
  }
  const changed = [
    ...listAbsent(before, after),
    ...listAbsent(after, before),
  ].map(({node}) => node);
  return [...new Set(changed)];
}

/** Lists the members that another membership does not have in this role. */
function listAbsent(
  members: readonly Member[],
  others: readonly Member[],
): readonly Member[] {
  const known = new Set(others.map(formatMember));
  return members.filter(member => !known.has(formatMember(member)));
}
