/** Logs which nodes wait to join the group. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
  listLatestMembers,
  NO_JOINERS,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  JoinWatch,
} from '@gentianshunt/controlModel';

import {GROUP_LOG_INTERVAL_MS} from './copyController.js';

/** A node that has waited for this long is logged. */
export const JOIN_LOG_DELAY_MS: Milliseconds = 1_000;

type JoinReads = 'role' | 'memberships' | 'joiningNodes' | 'joinWatch';
type JoinView = View<ControlSections, JoinReads, ControlObservation>;
type JoinWrite = ControlWrite<'joinWatch'>;

/**
 * Creates the controller that observes, while the member leads, which nodes
 * have asked to join and are no members yet.
 */
export function createJoinController(): ControlController {
  return defineControlController<JoinReads, 'joinWatch'>({
    name: 'joins',
    reads: ['role', 'memberships', 'joiningNodes', 'joinWatch'],
    writes: ['joinWatch'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {role, joinWatch: before} = view.board;
      if (role.kind !== 'leader') {
        return before === NO_JOINERS ? [] : [createWatchWrite(NO_JOINERS)];
      }
      return view.observation === undefined ? [] : updateWatch(view, now);
    },
  });
}

function createWatchWrite(value: JoinWatch): JoinWrite {
  return {kind: 'set', section: 'joinWatch', value};
}

function updateWatch({board}: JoinView, now: TurnTime): readonly JoinWrite[] {
  const {joinWatch: before} = board;
  const waiting = listWaiting(board);
  if (waiting.size === 0 && before.waiting.size === 0) {
    return [];
  }
  const delayed = [...waiting]
    .map(([node, {since}]) => ({node, waitedMs: now.monotonic - since}))
    .filter(({waitedMs}) => waitedMs >= JOIN_LOG_DELAY_MS);
  const isLogged =
    delayed.length > 0 &&
    now.monotonic - before.loggedAt >= GROUP_LOG_INTERVAL_MS;
  const loggedAt = isLogged ? now.monotonic : before.loggedAt;
  return [
    createWatchWrite({waiting, loggedAt}),
    ...(isLogged
      ? [
          createDecisionWrite({
            kind: 'joinWaiting',
            waiting: waiting.size,
            nodes: delayed,
          }),
        ]
      : []),
  ];
}

function listWaiting({
  joiningNodes,
  memberships,
}: JoinView['board']): JoinWatch['waiting'] {
  const members = new Set(
    listLatestMembers({memberships}).map(({storage}) => storage),
  );
  return new Map(
    [...joiningNodes].filter(([, {storage}]) => !members.has(storage)),
  );
}
