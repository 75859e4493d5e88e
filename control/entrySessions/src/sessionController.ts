import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineControlController} from '@gentianshunt/controlModel';
import type {ControlController, EntrySession} from '@gentianshunt/controlModel';
import type {EntryToControl} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {createDelta} from './configurationDelta.js';
import {
  confirmVersion,
  createConfigurationUpdate,
  pushChanges,
} from './configurationUpdates.js';
import {createDirectoryUpdate, toDirectoryEntry} from './directoryDelta.js';
import {createDirectoryStep, writeDirectoryStep} from './directorySteps.js';
import {
  computeEntryLeaseMs,
  isConfirmedLeader,
  isLeaseRecoveryOver,
} from './leaderStatus.js';
import {broadcastMembers, sendMembers} from './memberUpdates.js';
import {removeSession, replaceSession, send} from './sessionWrites.js';
import type {
  SessionReads,
  SessionView,
  SessionWrite,
  SessionWrites,
} from './sessionWrites.js';

/** Time between two checks of the entries' leases. */
export const SESSION_CHECK_INTERVAL_MS: Milliseconds = 250;

type Heartbeat = Extract<EntryToControl, {readonly kind: 'entryHeartbeat'}>;

const SESSION_SECTIONS = [
  'sessions',
  'sessionVersions',
  'sessionLeases',
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
        ? [...expireSessions(view, now), createSessionTimer()]
        : [];
    case 'entryMessage':
      return view.board.role.kind === 'leader'
        ? handleLeaderMessage(view, observation.from, observation.message, now)
        : redirectToLeader(view, observation.from, observation.message);
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
): readonly SessionWrite[] {
  const {role} = view.board;
  const leader = role.kind === 'follower' ? role.leader : null;
  const sequence = message.kind === 'entryHeartbeat' ? message.sequence : null;
  return [
    send(from, {kind: 'notLeader', sequence, leader}),
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
      // Without a reply, the entry sends its heartbeat to another daemon.
      return isConfirmedLeader(view.board, now)
        ? renewSession(view, message, now)
        : [];
    case 'versionConfirmed':
      return confirmVersion(view, from, message);
    default:
      return [];
  }
}

function renewSession(
  view: SessionView,
  heartbeat: Heartbeat,
  now: TurnTime,
): readonly SessionWrite[] {
  const {entry, incarnation, draining, version, setsInUse} = heartbeat;
  const current = view.board.sessions.get(entry.node);
  const session: EntrySession = {
    entry,
    incarnation,
    draining,
    confirmedVersion: version,
    sentVersion: Math.max(version, view.board.applied.version),
    directoryVersion: heartbeat.directoryVersion,
    leaseUntil: now.monotonic + computeEntryLeaseMs(view.board.identity),
    setsInUse,
  };
  const step = isDirectoryEntryCurrent(current, session)
    ? null
    : createDirectoryStep(view, view.board.directory, {
        kind: 'put',
        entry: toDirectoryEntry(session),
      });
  const directory = createDirectoryUpdate({
    board: view.board,
    entryVersion: heartbeat.directoryVersion,
    latest: step,
    isLeaseRecoveryOver: isLeaseRecoveryOver(view.board.role, now),
  });
  const update = createConfigurationUpdate(
    view,
    createDelta(view.board, version),
    heartbeat,
    directory,
  );
  return [
    ...replaceSession(current, session),
    ...(step === null
      ? []
      : writeDirectoryStep(view, view.board.directory, step)),
    ...(current === undefined ? sendMembers(view, entry.node) : []),
    send(entry.node, update),
  ];
}

function isDirectoryEntryCurrent(
  current: EntrySession | undefined,
  session: EntrySession,
): boolean {
  return (
    current !== undefined &&
    current.draining === session.draining &&
    current.incarnation === session.incarnation
  );
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
