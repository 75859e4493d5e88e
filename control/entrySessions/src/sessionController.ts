import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  WaitingHeartbeat,
} from '@gentianshunt/controlModel';
import type {EntryToControl} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {confirmVersion, pushChanges} from './configurationUpdates.js';
import {createDirectoryStep, writeDirectoryStep} from './directorySteps.js';
import {isConfirmedLeader} from './leaderStatus.js';
import {broadcastMembers, sendMembers} from './memberUpdates.js';
import {renewSessions} from './sessionRenewal.js';
import {removeSession, send} from './sessionWrites.js';
import {expireUpdates} from './sharedUpdates.js';
import type {
  SessionReads,
  SessionView,
  SessionWrite,
  SessionWrites,
} from './sessionWrites.js';
import {
  dropWaiting,
  expireWaiting,
  findAnswerable,
  notifyWaiting,
  putWaiting,
} from './waitingHeartbeats.js';

/** Time between two checks of the entries' leases. */
export const SESSION_CHECK_INTERVAL_MS: Milliseconds = 250;

const SESSION_SECTIONS = [
  'sessions',
  'sessionVersions',
  'sessionLeases',
  'waitingHeartbeats',
  'sharedUpdates',
  'directory',
  'directoryHistory',
] as const satisfies readonly SessionWrites[];

/**
 * Creates the controller of the entries' sessions at the leading daemon. It
 * renews and expires their leases, and sends them configuration, directory and
 * membership changes.
 */
export function createSessionController(): ControlController {
  return defineControlController<SessionReads, SessionWrites>({
    name: 'sessions',
    reads: [
      'identity',
      'role',
      'leadership',
      'ballot',
      'memberships',
      'applied',
      'configuration',
      'history',
      ...SESSION_SECTIONS,
    ],
    writes: SESSION_SECTIONS,
    observes: ['started', 'entryMessage', 'timerDue'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...answerHeartbeats(view, now),
      ...pushChanges(view, now),
      ...broadcastMembers(view),
    ],
  });
}

function handleObservation(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'started':
      return [createSessionTimer()];
    case 'timerDue':
      return observation.timer.kind === 'sessions'
        ? [...checkSessions(view, now), createSessionTimer()]
        : [];
    case 'entryMessage':
      return view.board.role.kind === 'leader'
        ? handleLeaderMessage(view, observation.from, observation.message, now)
        : redirectToLeader(view, observation.from, observation.message, now);
    default:
      return [];
  }
}

function createSessionTimer(): SessionWrite {
  return {
    kind: 'effect',
    effect: {
      kind: 'setTimer',
      timer: {kind: 'sessions'},
      delayMs: SESSION_CHECK_INTERVAL_MS,
    },
  };
}

/** Replies which daemon leads, so that the entry connects there. */
function redirectToLeader(
  view: SessionView,
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly SessionWrite[] {
  if (message.kind === 'entryHeartbeat') {
    return putWaiting(view, message, now);
  }
  const {role} = view.board;
  const leader = role.kind === 'follower' ? role.leader : null;
  return [
    send(from, {kind: 'notLeader', sequence: null, leader}),
    ...sendMembers(view, from),
  ];
}

function handleLeaderMessage(
  view: SessionView,
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly SessionWrite[] {
  switch (message.kind) {
    case 'entryHeartbeat':
      return isConfirmedLeader(view.board, now)
        ? dropWaiting(view, message.entry.node)
        : putWaiting(view, message, now);
    case 'versionConfirmed':
      return confirmVersion(view, from, message, now);
    default:
      return [];
  }
}

/**
 * Answers the heartbeats that may be answered now, the one that has arrived
 * among them; otherwise tells the entries that wait who leads.
 */
function answerHeartbeats(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {board, observation} = view;
  const arrived = readArrived(observation, now);
  const answerable = [...board.waitingHeartbeats].flatMap(([node, waiting]) =>
    // A heartbeat that arrives takes the place of those that wait.
    node === arrived?.heartbeat.entry.node
      ? []
      : (findAnswerable(board, node, waiting, now) ?? []),
  );
  const isConfirmed = isConfirmedLeader(board, now);
  const heartbeats = [
    ...answerable.map(({waiting}) => waiting),
    ...(isConfirmed && arrived !== undefined ? [arrived] : []),
  ];
  if (heartbeats.length === 0) {
    return isConfirmed ? [] : notifyWaiting(view, now);
  }
  return [
    ...renewSessions(view, heartbeats, now),
    ...answerable.map(({rest}) => rest),
  ];
}

function readArrived(
  observation: SessionView['observation'],
  now: TurnTime,
): WaitingHeartbeat | undefined {
  return observation?.kind === 'entryMessage' &&
    observation.message.kind === 'entryHeartbeat'
    ? {heartbeat: observation.message, receivedAt: now.monotonic}
    : undefined;
}

/** Ends what has expired, unless heartbeats that wait are answered first. */
function checkSessions(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {waitingHeartbeats} = view.board;
  return waitingHeartbeats.size > 0 && isConfirmedLeader(view.board, now)
    ? []
    : [
        ...expireWaiting(view, now),
        ...expireUpdates(view, now),
        ...expireSessions(view, now),
      ];
}

/** Ends the sessions with an expired lease; a non-leader ends all. */
function expireSessions(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role, sessions, sessionLeases} = view.board;
  if (role.kind !== 'leader') {
    return [...sessions.values()].flatMap(removeSession);
  }
  const ended = iterateWhile(
    sessionLeases,
    {leaseUntil: Number.NEGATIVE_INFINITY, node: '' as NodeId},
    key => key.leaseUntil <= now.monotonic,
  );
  const writes: SessionWrite[] = [];
  let previous = view.board.directory;
  for (const {key} of ended) {
    const step = createDirectoryStep(view, previous, {
      kind: 'remove',
      node: key.node,
    });
    writes.push(
      ...removeSession(sessions.get(key.node)!),
      ...writeDirectoryStep(view, previous, step),
    );
    previous = step.version;
  }
  return writes;
}
