import type {View} from '@gentianshunt/board';
import {
  createDecisionWrite,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlDecision,
  ControlObservation,
  ControlSections,
  LoggedState,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';

type DecisionLogReads =
  'role' | 'ballot' | 'logStatus' | 'memberships' | 'sessions' | 'loggedState';
type DecisionLogView = View<
  ControlSections,
  DecisionLogReads,
  ControlObservation
>;

/**
 * Creates the controller that writes the decision log: it compares the board
 * with the state that it logged last and records what has changed.
 */
export function createDecisionLogController(): ControlController {
  return defineControlController<DecisionLogReads, 'loggedState'>({
    name: 'decisionLog',
    reads: [
      'role',
      'ballot',
      'logStatus',
      'memberships',
      'sessions',
      'loggedState',
    ],
    writes: ['loggedState'],
    observes: [],
    run: view => {
      const current = readCurrentState(view);
      const decisions = [
        ...listStateDecisions(view, current),
        ...listSessionDecisions(view),
      ];
      return decisions.length === 0
        ? []
        : [
            ...decisions.map(createDecisionWrite),
            {kind: 'set', section: 'loggedState', value: current},
          ];
    },
  });
}

function readCurrentState({board}: DecisionLogView): LoggedState {
  const {role, ballot, memberships, sessions} = board;
  return {
    role: role.kind,
    term: ballot.term,
    leader: role.kind === 'follower' ? role.leader : null,
    membersIndex: memberships[memberships.length - 1]?.index ?? -1,
    sessions: new Set(sessions.keys()),
  };
}

function listStateDecisions(
  {board}: DecisionLogView,
  current: LoggedState,
): readonly ControlDecision[] {
  const {loggedState: logged, logStatus, memberships, role} = board;
  const decisions: ControlDecision[] = [];
  const isRoleChanged =
    logged.role !== current.role ||
    logged.term !== current.term ||
    logged.leader !== current.leader;
  if (isRoleChanged) {
    decisions.push({
      kind: 'roleChanged',
      role: role.kind,
      term: current.term,
      leader: current.leader,
      commitIndex: logStatus.commitIndex,
    });
  }
  const latest = memberships[memberships.length - 1];
  if (latest !== undefined && logged.membersIndex !== latest.index) {
    const {index, members} = latest;
    decisions.push({kind: 'membersChanged', index, members});
  }
  return decisions;
}

function listSessionDecisions(
  view: DecisionLogView,
): readonly ControlDecision[] {
  const {sessions, loggedState: logged} = view.board;
  return [...view.readChanges('sessions')].flatMap(
    (key): readonly ControlDecision[] => {
      const node = key as NodeId;
      const session = sessions.get(node);
      const isLogged = logged.sessions.has(node);
      if (session === undefined) {
        return isLogged ? [{kind: 'sessionEnded', node}] : [];
      }
      const {incarnation, confirmedVersion} = session;
      return isLogged
        ? []
        : [
            {
              kind: 'sessionOpened',
              node,
              incarnation,
              version: confirmedVersion,
            },
          ];
    },
  );
}
