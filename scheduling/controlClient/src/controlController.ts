import type {TurnTime, View} from '@gentianshunt/board';
import {createLease, isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import {formatObjectKey} from '@gentianshunt/configuration';
import {
  defineEntryController,
  iterateEndpoints,
} from '@gentianshunt/entryModel';
import type {
  ControlStatus,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ControlToEntry} from '@gentianshunt/messages';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import {applyDirectoryUpdate} from './applyDirectoryUpdate.js';
import {addHeartbeat, recordAnswer} from './heartbeatRecord.js';

/** Heartbeats between two broadcasts of the member list. */
export const HEARTBEATS_PER_BROADCAST = 4;
/** Time between two heartbeats to the leading control daemon. */
export const HEARTBEAT_INTERVAL_MS: Milliseconds = 500;

type ControlReads =
  | 'identity'
  | 'service'
  | 'control'
  | 'controlNodes'
  | 'configuration'
  | 'leaderships'
  | 'endpoints';
type ControlWrites = 'control' | 'controlNodes' | 'configuration';
type ControlView = View<EntrySections, ControlReads, EntryObservation>;
type ControlWrite = EntryWrite<ControlWrites>;
type NotLeader = Extract<ControlToEntry, {readonly kind: 'notLeader'}>;
type ConfigurationUpdate = Extract<
  ControlToEntry,
  {readonly kind: 'configurationUpdate'}
>;

/**
 * Creates the controller that finds the leading control daemon, renews the
 * entry's lease by heartbeats and applies configuration updates.
 */
export function createControlController(): EntryController {
  return defineEntryController<ControlReads, ControlWrites>({
    name: 'control',
    reads: [
      'identity',
      'service',
      'control',
      'controlNodes',
      'configuration',
      'leaderships',
      'endpoints',
    ],
    writes: ['control', 'controlNodes', 'configuration'],
    observes: [
      'started',
      'timerDue',
      'controlMessage',
      'misdirectedControlMessage',
      'controlNodesLearned',
    ],
    run: (view, now) => handleObservation(view, now),
  });
}

function handleObservation(
  view: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'started':
      return sendHeartbeat(view, view.board.control, now);
    case 'timerDue':
      return observation.timer.kind === 'heartbeat'
        ? [
            ...sendHeartbeat(view, view.board.control, now),
            ...(isBroadcastDue(view) ? broadcastMembers(view, now) : []),
          ]
        : [];
    case 'controlMessage':
      return handleMessage(view, observation.from, observation.message, now);
    case 'misdirectedControlMessage':
      return [redirectEntry(view, observation.from)];
    case 'controlNodesLearned': {
      const {controlNodes} = view.board;
      const value = [...new Set([...controlNodes, ...observation.nodes])];
      return [{kind: 'set', section: 'controlNodes', value}];
    }
    default:
      return [];
  }
}

/** Sends the leader and the members of the control group to an entry. */
function redirectEntry(view: ControlView, to: NodeId): ControlWrite {
  const {control, controlNodes} = view.board;
  const {leader} = control;
  const effect = {
    kind: 'redirectEntry',
    to,
    leader,
    members: controlNodes,
  } as const;
  return {kind: 'effect', effect};
}

/**
 * Stores the members of the control group, followed by the nodes that the
 * settings name. Without a valid lease, follows the first member as leader.
 */
function followMembers(
  view: ControlView,
  members: readonly NodeId[],
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, controlNodes, identity} = view.board;
  const value = [...new Set([...members, ...identity.controlNodes])];
  const isSame =
    value.length === controlNodes.length &&
    value.every((node, index) => node === controlNodes[index]);
  if (isSame) {
    return [];
  }
  const leader = members[0] ?? null;
  return [
    {kind: 'set', section: 'controlNodes', value},
    ...(isLeaseValid(control.lease, now)
      ? []
      : followLeader(view, leader, now)),
  ];
}

/**
 * Sends the members of the control group to the nodes that the settings name.
 * Entries that start with the same settings ask these nodes, which may not have
 * the list otherwise.
 */
function broadcastMembers(
  {board}: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, controlNodes, identity} = board;
  if (!isLeaseValid(control.lease, now)) {
    return [];
  }
  const others = identity.controlNodes.filter(
    node => node !== identity.address.node && node !== control.leader,
  );
  return others.map(to => {
    const effect = {
      kind: 'redirectEntry',
      to,
      leader: null,
      members: controlNodes,
    } as const;
    return {kind: 'effect', effect};
  });
}

/** A broadcast is needed only if the settings do not name all members. */
function isBroadcastDue({board}: ControlView): boolean {
  const {identity, control} = board;
  return (
    identity.broadcastsMembers === true &&
    control.lastSequence % HEARTBEATS_PER_BROADCAST === 0
  );
}

/** Sends a heartbeat to the leader, or to the daemons in turn to find it. */
function sendHeartbeat(
  view: ControlView,
  status: ControlStatus,
  now: TurnTime,
): readonly ControlWrite[] {
  const {identity, service, controlNodes} = view.board;
  const sequence = status.lastSequence + 1;
  // After an unanswered heartbeat, the next one goes to another daemon.
  const leader = status.sentAt === null ? status.leader : null;
  const to = leader ?? controlNodes[sequence % controlNodes.length]!;
  return [
    {
      kind: 'set',
      section: 'control',
      value: {
        ...status,
        leader,
        lastSequence: sequence,
        sentAt: now,
        heartbeats: addHeartbeat(status.heartbeats, {
          sequence,
          to,
          sentAt: now,
        }),
      },
    },
    {
      kind: 'effect',
      effect: {
        kind: 'sendControl',
        to,
        message: {
          kind: 'entryHeartbeat',
          entry: identity.address,
          incarnation: identity.incarnation,
          sequence,
          version: status.version,
          directoryVersion: status.directory.version,
          draining: service.kind === 'draining',
          setsInUse: listSetsInUse(view),
        },
      },
    },
    {
      kind: 'effect',
      effect: {
        kind: 'setTimer',
        timer: {kind: 'heartbeat'},
        delayMs: HEARTBEAT_INTERVAL_MS,
      },
    },
  ];
}

function handleMessage(
  view: ControlView,
  from: NodeId,
  message: ControlToEntry,
  now: TurnTime,
): readonly ControlWrite[] {
  switch (message.kind) {
    case 'configurationUpdate':
      return applyUpdate(view, from, message, now);
    case 'notLeader':
      return handleNotLeader(view, message, now);
    case 'membersUpdate':
      return followMembers(view, message.members, now);
    case 'commandReply':
    case 'commandStatusReply':
    case 'replacementReply':
    case 'claimReply':
    case 'settleReply':
    case 'countReportReply':
    case 'controlQueryReply':
      return [];
    default:
      return assertNever(message, 'handleMessage');
  }
}

function handleNotLeader(
  view: ControlView,
  {sequence, leader}: NotLeader,
  now: TurnTime,
): readonly ControlWrite[] {
  const {control} = view.board;
  const heartbeats = recordAnswer(
    control.heartbeats,
    sequence,
    afterMs => ({kind: 'notLeader', afterMs, leader}),
    now,
  );
  const status = {...control, heartbeats};
  const followed = followLeader(view, leader, now, status);
  return followed.length > 0
    ? followed
    : [{kind: 'set', section: 'control', value: status}];
}

function followLeader(
  view: ControlView,
  leader: NodeId | null,
  now: TurnTime,
  status: ControlStatus = view.board.control,
): readonly ControlWrite[] {
  if (leader === null || leader === status.leader) {
    return [];
  }
  const newStatus = {
    ...status,
    leader,
    sentAt: null,
  };
  return sendHeartbeat(view, newStatus, now);
}

/** Lists the led sets that have endpoints. */
function listSetsInUse(view: ControlView): readonly EndpointSetId[] {
  const {leaderships, endpoints} = view.board;
  return [...leaderships.keys()].filter(set => {
    const [first] = iterateEndpoints(endpoints, set);
    return first !== undefined;
  });
}

/**
 * Applies an update that starts at or before the current version and does not
 * end before it, so that the version never decreases. A delta may contain
 * changes that are applied already; applied again in order, they lead to the
 * same state.
 */
function applyUpdate(
  view: ControlView,
  from: NodeId,
  update: ConfigurationUpdate,
  now: TurnTime,
): readonly ControlWrite[] {
  const status = view.board.control;
  const isNewer = update.version > status.version;
  const isApplicable =
    update.version >= status.version && update.fromVersion <= status.version;
  if (!isApplicable) {
    return [];
  }
  const {sentAt} = status;
  const isHeartbeatReply =
    sentAt !== null && update.sequence === status.lastSequence;
  const next: ControlStatus = {
    ...status,
    leader: from,
    version: update.version,
    lease: isHeartbeatReply
      ? createLease(sentAt, update.leaseMs)
      : status.lease,
    sentAt: isHeartbeatReply ? null : sentAt,
    heartbeats: recordAnswer(
      status.heartbeats,
      update.sequence,
      afterMs => ({kind: isHeartbeatReply ? 'renewed' : 'unused', afterMs}),
      now,
    ),
    directory: applyDirectoryUpdate(status.directory, update.directory),
  };
  return [
    ...(isNewer ? applyChanges(view, update) : []),
    {kind: 'set', section: 'control', value: next},
    ...(isNewer ? [confirmVersion(next, from)] : []),
  ];
}

function applyChanges(
  view: ControlView,
  update: ConfigurationUpdate,
): readonly ControlWrite[] {
  return [
    ...(update.fromVersion === 0 ? clearConfiguration(view) : []),
    ...update.changes.map(createConfigurationWrite),
  ];
}

/** Confirms a version at once, without waiting for the next heartbeat. */
function confirmVersion(status: ControlStatus, to: NodeId): ControlWrite {
  const {version, directory} = status;
  return {
    kind: 'effect',
    effect: {
      kind: 'sendControl',
      to,
      message: {
        kind: 'versionConfirmed',
        version,
        directoryVersion: directory.version,
      },
    },
  };
}

function clearConfiguration(view: ControlView): readonly ControlWrite[] {
  return [...view.board.configuration.keys()].map(key => ({
    kind: 'delete',
    section: 'configuration',
    key,
  }));
}

function createConfigurationWrite(
  change: ConfigurationUpdate['changes'][number],
): ControlWrite {
  switch (change.kind) {
    case 'put':
      return {
        kind: 'put',
        section: 'configuration',
        key: formatObjectKey(change.object.kind, change.object.id),
        value: change.object,
      };
    case 'delete':
      return {kind: 'delete', section: 'configuration', key: change.key};
    default:
      return assertNever(change, 'createConfigurationWrite');
  }
}
