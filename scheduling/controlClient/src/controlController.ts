import type {TurnTime} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ControlToEntry} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {applyUpdate} from './configurationUpdate.js';
import {
  addNodes,
  broadcastMembers,
  followMembers,
  isBroadcastDue,
  redirectEntry,
} from './controlMembers.js';
import type {
  ControlReads,
  ControlView,
  ControlWrite,
  ControlWrites,
} from './controlSections.js';
import {isAnswerOutdated, recordAnswer} from './heartbeatRecord.js';
import {
  followLeader,
  sendEarlyHeartbeat,
  sendHeartbeats,
} from './heartbeats.js';

type NotLeader = Extract<ControlToEntry, {readonly kind: 'notLeader'}>;
type LeaderUnconfirmed = Extract<
  ControlToEntry,
  {readonly kind: 'leaderUnconfirmed'}
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
      'reach',
    ],
    writes: ['control', 'controlNodes', 'configuration'],
    observes: [
      'started',
      'timerDue',
      'controlMessage',
      'misdirectedControlMessage',
      'controlNodesLearned',
    ],
    run: (view, now) => {
      const writes = handleObservation(view, now);
      const isNews = view.readChanges('reach').size > 0;
      return writes.length === 0 && isNews
        ? sendEarlyHeartbeat(view, now)
        : writes;
    },
  });
}

function handleObservation(
  view: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'started':
      return sendHeartbeats(view, now);
    case 'timerDue':
      return observation.timer.kind === 'heartbeat'
        ? [
            ...sendHeartbeats(view, now),
            ...(isBroadcastDue(view, now) ? broadcastMembers(view, now) : []),
          ]
        : [];
    case 'controlMessage':
      return handleMessage(view, observation.from, observation.message, now);
    case 'misdirectedControlMessage':
      return [redirectEntry(view, observation.from)];
    case 'controlNodesLearned':
      return addNodes(view, observation.nodes);
    default:
      return [];
  }
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
      return handleNotLeader(view, from, message, now);
    case 'leaderUnconfirmed':
      return awaitLeader(view, from, message, now);
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

/** Follows the leader that a daemon names, unless the reply is outdated. */
function handleNotLeader(
  view: ControlView,
  from: NodeId,
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
  if (isAnswerOutdated(heartbeats, sequence)) {
    return [{kind: 'set', section: 'control', value: status}];
  }
  if (leader !== null && leader !== status.leader) {
    return followLeader(view, status, leader, now);
  }
  // Without a sequence, another entry on the leader's VM may have sent it.
  const isForgotten = sequence !== null && from === status.leader;
  const value = isForgotten ? {...status, leader: null} : status;
  return [{kind: 'set', section: 'control', value}];
}

/** Follows a leader that answers the heartbeat as soon as it is confirmed. */
function awaitLeader(
  view: ControlView,
  from: NodeId,
  {incarnation, sequence, reason}: LeaderUnconfirmed,
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, identity} = view.board;
  const {heartbeats} = control;
  const sent = heartbeats.find(each => each.sequence === sequence);
  const isWaiting =
    incarnation === identity.incarnation &&
    sent !== undefined &&
    sent.answer.kind !== 'renewed' &&
    !isAnswerOutdated(heartbeats, sequence);
  if (!isWaiting) {
    return [];
  }
  const value = {
    ...control,
    leader: from,
    heartbeats: recordAnswer(
      heartbeats,
      sequence,
      afterMs => ({kind: 'leaderUnconfirmed', afterMs, reason}),
      now,
    ),
  };
  return [{kind: 'set', section: 'control', value}];
}
