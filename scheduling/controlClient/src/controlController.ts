import type {TurnTime, View} from '@gentianshunt/board';
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

/** Heartbeats between two words to the nodes that the settings name. */
export const HEARTBEATS_PER_SPREAD = 4;
/** Time between two heartbeats to the leading control daemon. */
export const HEARTBEAT_INTERVAL_MS: Milliseconds = 500;

type ControlReads =
  | 'identity'
  | 'service'
  | 'control'
  | 'controls'
  | 'configuration'
  | 'leaderships'
  | 'endpoints';
type ControlWrites = 'control' | 'controls' | 'configuration';
type ControlView = View<EntrySections, ControlReads, EntryObservation>;
type ControlWrite = EntryWrite<ControlWrites>;
type Update = Extract<ControlToEntry, {readonly kind: 'configurationUpdate'}>;

/** Creates the controller that follows the configuration. */
export function createControlController(): EntryController {
  return defineEntryController<ControlReads, ControlWrites>({
    name: 'control',
    reads: [
      'identity',
      'service',
      'control',
      'controls',
      'configuration',
      'leaderships',
      'endpoints',
    ],
    writes: ['control', 'controls', 'configuration'],
    observes: [
      'started',
      'timerDue',
      'controlMessage',
      'controlInquiry',
      'controlsLearnt',
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
            ...(isSpreadDue(view) ? spreadMembers(view, now) : []),
          ]
        : [];
    case 'controlMessage':
      return handleMessage(view, observation.from, observation.message, now);
    case 'controlInquiry':
      return [redirectEntry(view, observation.from)];
    case 'controlsLearnt': {
      const {controls} = view.board;
      const value = [...new Set([...controls, ...observation.nodes])];
      return [{kind: 'set', section: 'controls', value}];
    }
    default:
      return [];
  }
}

/** Tells an entry that asked here where the control log is. */
function redirectEntry(view: ControlView, to: NodeId): ControlWrite {
  const {control, controls} = view.board;
  const {leader} = control;
  const order = {kind: 'redirectEntry', to, leader, members: controls} as const;
  return {kind: 'order', order};
}

/** The members come first; where the log was to be found before, last. */
function followMembers(
  view: ControlView,
  members: readonly NodeId[],
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, controls, identity} = view.board;
  const value = [...new Set([...members, ...identity.controls])];
  const isSame =
    value.length === controls.length &&
    value.every((node, index) => node === controls[index]);
  if (isSame) {
    return [];
  }
  const leader = members[0] ?? null;
  return [
    {kind: 'set', section: 'controls', value},
    ...(control.leaseUntil > now.monotonic
      ? []
      : followLeader(view, leader, now)),
  ];
}

/**
 * Tells the nodes that the settings name who keeps the log: others that start
 * with the same settings ask them, and they may know nothing themselves.
 */
function spreadMembers(
  {board}: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, controls, identity} = board;
  if (control.leaseUntil <= now.monotonic) {
    return [];
  }
  const others = identity.controls.filter(
    node => node !== identity.address.node && node !== control.leader,
  );
  return others.map(to => {
    const order = {
      kind: 'redirectEntry',
      to,
      leader: null,
      members: controls,
    } as const;
    return {kind: 'order', order};
  });
}

/** Only where the settings do not name the whole group. */
function isSpreadDue({board}: ControlView): boolean {
  const {identity, control} = board;
  return (
    identity.spreadsMembers === true &&
    control.lastSequence % HEARTBEATS_PER_SPREAD === 0
  );
}

/** Sends a heartbeat to the leader, or to each daemon in turn to find it. */
function sendHeartbeat(
  view: ControlView,
  status: ControlStatus,
  now: TurnTime,
): readonly ControlWrite[] {
  const {identity, service, controls} = view.board;
  const sequence = status.lastSequence + 1;
  // An unanswered heartbeat makes the next one look for another leader.
  const answered = status.sentAt === Number.NEGATIVE_INFINITY;
  const leader = answered ? status.leader : null;
  const to = leader ?? controls[sequence % controls.length]!;
  return [
    {
      kind: 'set',
      section: 'control',
      value: {
        ...status,
        leader,
        lastSequence: sequence,
        sentAt: now.monotonic,
      },
    },
    {
      kind: 'order',
      order: {
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
      kind: 'order',
      order: {
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
      return applyUpdate(view, from, message);
    case 'notLeader':
      return followLeader(view, message.leader, now);
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

function followLeader(
  view: ControlView,
  leader: NodeId | null,
  now: TurnTime,
): readonly ControlWrite[] {
  const status = view.board.control;
  if (leader === null || leader === status.leader) {
    return [];
  }
  const answered = {
    ...status,
    leader,
    sentAt: Number.NEGATIVE_INFINITY,
  };
  return sendHeartbeat(view, answered, now);
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
 * Applies an update that begins at or before the version held and does not
 * end before it, so a version never reverts. A delta may repeat changes that
 * are applied already: in order they lead to the same state.
 */
function applyUpdate(
  view: ControlView,
  from: NodeId,
  update: Update,
): readonly ControlWrite[] {
  const status = view.board.control;
  const isNewer = update.version > status.version;
  const fits =
    update.version >= status.version && update.fromVersion <= status.version;
  if (!fits) {
    return [];
  }
  const answers = update.sequence === status.lastSequence;
  const next: ControlStatus = {
    ...status,
    leader: from,
    version: update.version,
    leaseUntil: answers ? status.sentAt + update.leaseMs : status.leaseUntil,
    sentAt: answers ? Number.NEGATIVE_INFINITY : status.sentAt,
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
  update: Update,
): readonly ControlWrite[] {
  return [
    ...(update.fromVersion === 0 ? clearConfiguration(view) : []),
    ...update.changes.map(toTableWrite),
  ];
}

/** Tells the leader at once, so that it need not await a heartbeat. */
function confirmVersion(status: ControlStatus, to: NodeId): ControlWrite {
  const {version, directory} = status;
  return {
    kind: 'order',
    order: {
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

function toTableWrite(change: Update['changes'][number]): ControlWrite {
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
      return assertNever(change, 'toTableWrite');
  }
}
