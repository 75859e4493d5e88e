import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineControlController} from '@gentianshunt/controlModel';
import type {ControlController, EntrySession} from '@gentianshunt/controlModel';
import type {
  ConfigurationVersion,
  ControlToEntry,
  DirectoryChange,
  DirectoryUpdate,
  DirectoryVersion,
  EntryToControl,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {createDelta} from './configurationDelta.js';
import type {ConfigurationDelta} from './configurationDelta.js';
import {
  createDirectoryUpdate,
  MAX_DIRECTORY_HISTORY,
  toDirectoryEntry,
} from './directoryDelta.js';
import type {DirectoryStep} from './directoryDelta.js';
import {EMPTY_DIRECTORY_DIGEST, toggleEntry} from './directoryDigest.js';
import {
  ENTRY_LEASE_MS,
  isConfirmedLeader,
  isLeaseRecoveryOver,
} from './leaderStatus.js';
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
type Confirmation = Extract<
  EntryToControl,
  {readonly kind: 'versionConfirmed'}
>;

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

/**
 * Sends an entry the current control daemons. With a fixed list in the settings
 * there is nothing to send.
 */
function sendMembers(view: SessionView, to: NodeId): readonly SessionWrite[] {
  const {identity, memberships} = view.board;
  if (identity.admission.kind === 'listed') {
    return [];
  }
  const members = memberships[memberships.length - 1]?.members ?? [];
  const nodes = members.map(({node}) => node);
  return nodes.length === 0
    ? []
    : [send(to, {kind: 'membersUpdate', members: nodes})];
}

/** Broadcasts a change of the members to all entries. */
function broadcastMembers(view: SessionView): readonly SessionWrite[] {
  const {role, sessions} = view.board;
  const isChanged = view.readChanges('memberships').size > 0;
  return isChanged && role.kind === 'leader'
    ? [...sessions.keys()].flatMap(node => sendMembers(view, node))
    : [];
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
    leaseUntil: now.monotonic + ENTRY_LEASE_MS,
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
    heartbeat.sequence,
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

/**
 * Creates the next version of the directory for a change. The numbers start at
 * 1 in each term, with the digest of the sessions at that moment.
 */
function createDirectoryStep(
  view: SessionView,
  previous: DirectoryVersion,
  change: DirectoryChange,
): DirectoryStep {
  const {term} = view.board.ballot;
  const isContinued = previous.term === term;
  const digest = isContinued
    ? previous.digest
    : computeSessionsDigest(view.board.sessions);
  return {
    version: {
      term,
      number: isContinued ? previous.number + 1 : 1,
      digest: updateDigest(view, digest, change),
    },
    change,
  };
}

function computeSessionsDigest(
  sessions: ReadonlyMap<NodeId, EntrySession>,
): number {
  return [...sessions.values()]
    .map(toDirectoryEntry)
    .reduce(toggleEntry, EMPTY_DIRECTORY_DIGEST);
}

/** Computes the digest of the directory after a change. */
function updateDigest(
  view: SessionView,
  digest: number,
  change: DirectoryChange,
): number {
  const node = change.kind === 'put' ? change.entry.address.node : change.node;
  const current = view.board.sessions.get(node);
  const without =
    current === undefined
      ? digest
      : toggleEntry(digest, toDirectoryEntry(current));
  return change.kind === 'put' ? toggleEntry(without, change.entry) : without;
}

/** Writes a directory version and drops the oldest or outdated history. */
function writeDirectoryStep(
  view: SessionView,
  previous: DirectoryVersion,
  step: DirectoryStep,
): readonly SessionWrite[] {
  const {version, change} = step;
  const stale =
    previous.term === version.term
      ? [version.number - MAX_DIRECTORY_HISTORY].filter(number => number > 0)
      : Array.from(view.board.directoryHistory.iterateFrom(), ({key}) => key);
  return [
    ...stale.map((key): SessionWrite => ({
      kind: 'delete',
      section: 'directoryHistory',
      key,
    })),
    {kind: 'set', section: 'directory', value: version},
    {
      kind: 'put',
      section: 'directoryHistory',
      key: version.number,
      value: change,
    },
  ];
}

function createConfigurationUpdate(
  view: SessionView,
  delta: ConfigurationDelta,
  sequence: number | null,
  directory: DirectoryUpdate | null,
): Extract<ControlToEntry, {readonly kind: 'configurationUpdate'}> {
  return {
    kind: 'configurationUpdate',
    sequence,
    fromVersion: delta.fromVersion,
    version: view.board.applied.version,
    changes: delta.changes,
    directory,
    leaseMs: ENTRY_LEASE_MS,
  };
}

/**
 * Records the version that an entry has confirmed, and sends it the changes
 * that were applied since.
 */
function confirmVersion(
  view: SessionView,
  from: NodeId,
  message: Confirmation,
): readonly SessionWrite[] {
  const current = view.board.sessions.get(from);
  if (current === undefined || message.version <= current.confirmedVersion) {
    return [];
  }
  const {version, directoryVersion} = message;
  const latest = view.board.applied.version;
  const confirmed = {
    ...current,
    confirmedVersion: version,
    directoryVersion,
  };
  if (version >= latest) {
    return replaceSession(current, confirmed);
  }
  const delta = createDelta(view.board, version);
  return [
    ...replaceSession(current, {...confirmed, sentVersion: latest}),
    send(from, createConfigurationUpdate(view, delta, null, null)),
  ];
}

/**
 * Sends new changes without waiting for heartbeats. An entry that has not yet
 * confirmed the previous push receives the newer changes once it does.
 */
function pushChanges(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role, applied, sessions, sessionVersions} = view.board;
  const isChanged = view.readChanges('applied').size > 0;
  if (!isChanged || role.kind !== 'leader') {
    return [];
  }
  const deltas = new Map<ConfigurationVersion, ConfigurationDelta>();
  const writes: SessionWrite[] = [];
  const from = {version: 0, node: '' as NodeId};
  const lagging = iterateWhile(
    sessionVersions,
    from,
    key => key.version < applied.version,
  );
  for (const {key} of lagging) {
    const session = sessions.get(key.node)!;
    const isConfirmationPending =
      session.sentVersion > session.confirmedVersion;
    if (isConfirmationPending || session.leaseUntil <= now.monotonic) {
      continue;
    }
    const delta =
      deltas.get(key.version) ?? createDelta(view.board, key.version);
    deltas.set(key.version, delta);
    writes.push(
      ...replaceSession(session, {...session, sentVersion: applied.version}),
      send(key.node, createConfigurationUpdate(view, delta, null, null)),
    );
  }
  return writes;
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
