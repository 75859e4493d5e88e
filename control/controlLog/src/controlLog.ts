import type {View} from '@gentianshunt/board';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlDecision,
  ControlObservation,
  ControlSections,
  ControlWrite,
  ToldState,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';

type LogReads =
  | 'role'
  | 'ballot'
  | 'logStatus'
  | 'memberships'
  | 'source'
  | 'applied'
  | 'configuration'
  | 'sessions'
  | 'told';
type LogView = View<ControlSections, LogReads, ControlObservation>;

/** Creates the controller that tells of the decisions of the others. */
export function createControlLog(): ControlController {
  return defineControlController<LogReads, 'told'>({
    name: 'controlLog',
    reads: [
      'role',
      'ballot',
      'logStatus',
      'memberships',
      'source',
      'applied',
      'configuration',
      'sessions',
      'told',
    ],
    writes: ['told'],
    observes: [],
    run: view => {
      const after = readStanding(view);
      const decisions = [
        ...listRoleDecisions(view, after),
        ...listSessionDecisions(view),
      ];
      return decisions.length === 0
        ? []
        : [
            ...decisions.map((decision): ControlWrite<'told'> => ({
              kind: 'order',
              order: {kind: 'tell', decision},
            })),
            {kind: 'set', section: 'told', value: after},
          ];
    },
  });
}

function readStanding({board}: LogView): ToldState {
  const {role, ballot, memberships, source, sessions} = board;
  return {
    role: role.kind,
    term: ballot.term,
    leader: role.kind === 'follower' ? role.leader : null,
    membersIndex: memberships[memberships.length - 1]?.index ?? -1,
    release: source.version,
    sessions: new Set(sessions.keys()),
  };
}

function listRoleDecisions(
  {board}: LogView,
  after: ToldState,
): readonly ControlDecision[] {
  const {told, logStatus, memberships, role} = board;
  const decisions: ControlDecision[] = [];
  const isRoleChanged =
    told.role !== after.role ||
    told.term !== after.term ||
    told.leader !== after.leader;
  if (isRoleChanged) {
    decisions.push({
      kind: 'roleChanged',
      role: role.kind,
      term: after.term,
      leader: after.leader,
      commitIndex: logStatus.commitIndex,
    });
  }
  const latest = memberships[memberships.length - 1];
  if (latest !== undefined && told.membersIndex !== latest.index) {
    const {index, members} = latest;
    decisions.push({kind: 'membersChanged', index, members});
  }
  if (told.release !== after.release) {
    decisions.push({
      kind: 'releaseApplied',
      release: after.release,
      index: board.applied.index,
      objects: board.configuration.size,
    });
  }
  return decisions;
}

function listSessionDecisions(view: LogView): readonly ControlDecision[] {
  const {sessions, told} = view.board;
  return [...view.readChanges('sessions')].flatMap(
    (key): readonly ControlDecision[] => {
      const node = key as NodeId;
      const session = sessions.get(node);
      const isKnown = told.sessions.has(node);
      if (session === undefined) {
        return isKnown ? [{kind: 'sessionEnded', node}] : [];
      }
      const {incarnation, version} = session;
      return isKnown
        ? []
        : [{kind: 'sessionOpened', node, incarnation, version}];
    },
  );
}
