import {createControlLoop} from '@gentianshunt/board';
import type {BoardView} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {
  createControlSections,
  DEFAULT_LOG_BOUNDS,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlDecision,
  ControlSections,
  ControlWrite,
  JoinRequest,
  Membership,
} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {Member, StorageId} from '@gentianshunt/messages';

const SELF = 'control-0';

/** What the leader knows of the group at a heartbeat. */
export interface GroupState {
  readonly memberships: readonly Membership[];
  readonly joiningNodes?: ReadonlyMap<NodeId, JoinRequest>;
}

/** One controller on the board of a leader. */
export interface WatchFixture {
  /** Runs the controller at a heartbeat and returns what it logs. */
  run(state: GroupState): readonly ControlDecision[];
  advance(ms: Milliseconds): void;
  readonly view: BoardView<ControlSections>;
}

/** Creates a fixture for a controller that observes the group. */
export function createWatchFixture(
  controller: ControlController,
): WatchFixture {
  const clock = createManualClock();
  const decisions: ControlDecision[] = [];
  let state: GroupState = {memberships: []};
  const loop = createControlLoop({
    sections: createSections(),
    controllers: [createGroupController(() => state), controller],
    clock,
    perform: effect => {
      if (effect.kind === 'logDecision') {
        decisions.push(effect.decision);
      }
    },
  });
  return {
    view: loop.view,
    advance: ms => clock.advance(ms),
    run: next => {
      state = next;
      loop.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
      return decisions.splice(0);
    },
  };
}

function createSections(): ControlSections {
  const node = toIdentifier<NodeId>(SELF);
  return createControlSections({
    node,
    bootstrapMembers: [node],
    admission: {kind: 'open', mayBootstrap: true},
    storage: toIdentifier('folder'),
    seed: 1,
    releaseApplyMs: 2_000,
    logBounds: DEFAULT_LOG_BOUNDS,
  });
}

/** Creates a controller that makes the member lead a group in a given state. */
function createGroupController(readState: () => GroupState): ControlController {
  return defineControlController<
    'joiningNodes',
    'role' | 'memberships' | 'joiningNodes'
  >({
    name: 'group',
    reads: ['joiningNodes'],
    writes: ['role', 'memberships', 'joiningNodes'],
    observes: ['timerDue'],
    run: ({board}) => {
      const {memberships, joiningNodes = new Map()} = readState();
      return [
        {kind: 'set', section: 'role', value: {kind: 'leader', since: 0}},
        {kind: 'set', section: 'memberships', value: memberships},
        ...[...board.joiningNodes.keys()].map(
          (key): ControlWrite<'joiningNodes'> => ({
            kind: 'delete',
            section: 'joiningNodes',
            key,
          }),
        ),
        ...[...joiningNodes].map(
          ([key, value]): ControlWrite<'joiningNodes'> => ({
            kind: 'put',
            section: 'joiningNodes',
            key,
            value,
          }),
        ),
      ];
    },
  });
}

/** Creates a request to join whose first and latest hello came at a time. */
export function createJoinRequest(
  storage: string,
  since: MonotonicTime,
): JoinRequest {
  return {storage: toIdentifier<StorageId>(storage), since, renewedAt: since};
}

/** Creates a voter with its first data folder. */
export function createVoter(node: string): Member {
  return {
    node: toIdentifier(node),
    storage: toIdentifier<StorageId>(`${node}-1`),
    role: 'voter',
  };
}
