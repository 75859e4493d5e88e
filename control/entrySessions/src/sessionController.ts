import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {ConfigurationChange} from '@gentianshunt/configuration';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  EntrySession,
} from '@gentianshunt/controlModel';
import type {
  ConfigurationVersion,
  ControlToEntry,
  EntryDirectory,
  EntryToControl,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** Lifetime of an entry's configuration lease. */
export const ENTRY_LEASE_MS: Milliseconds = 3_000;
/** Time between two looks at the entries' leases. */
export const SESSION_INTERVAL_MS: Milliseconds = 250;

type SessionReads =
  | 'identity'
  | 'role'
  | 'applied'
  | 'configuration'
  | 'history'
  | 'sessions'
  | 'directory';
type SessionWrites = 'sessions' | 'directory';
type SessionView = View<ControlSections, SessionReads, ControlObservation>;
type SessionWrite = ControlWrite<SessionWrites>;
type Heartbeat = Extract<EntryToControl, {readonly kind: 'entryHeartbeat'}>;

/** Creates the controller that holds the entries' leases. */
export function createSessionController(): ControlController {
  return defineControlController<SessionReads, SessionWrites>({
    name: 'sessions',
    reads: [
      'identity',
      'role',
      'applied',
      'configuration',
      'history',
      'sessions',
      'directory',
    ],
    writes: ['sessions', 'directory'],
    observes: ['started', 'entryMessage', 'timerDue'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...pushChanges(view, now),
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
        ? handleLeaderMessage(view, observation.message, now)
        : redirect(view, observation.from, observation.message);
    default:
      return [];
  }
}

function createSessionTimer(): SessionWrite {
  return {
    kind: 'order',
    order: {
      kind: 'setTimer',
      timer: {kind: 'sessions'},
      delayMs: SESSION_INTERVAL_MS,
    },
  };
}

function send(to: NodeId, message: ControlToEntry): SessionWrite {
  return {kind: 'order', order: {kind: 'sendEntry', to, message}};
}

/** Tells an entry which daemon leads. */
function redirect(
  view: SessionView,
  from: NodeId,
  message: EntryToControl,
): readonly SessionWrite[] {
  const {role} = view.board;
  const leader = role.kind === 'follower' ? role.leader : null;
  const sequence = message.kind === 'entryHeartbeat' ? message.sequence : null;
  return [send(from, {kind: 'notLeader', sequence, leader})];
}

function handleLeaderMessage(
  view: SessionView,
  message: EntryToControl,
  now: TurnTime,
): readonly SessionWrite[] {
  return message.kind === 'entryHeartbeat'
    ? renewSession(view, message, now)
    : [];
}

function renewSession(
  view: SessionView,
  heartbeat: Heartbeat,
  now: TurnTime,
): readonly SessionWrite[] {
  const {node} = heartbeat.entry;
  const known = view.board.sessions.get(node);
  const session: EntrySession = {
    entry: heartbeat.entry,
    draining: heartbeat.draining,
    version: heartbeat.version,
    directoryVersion: heartbeat.directoryVersion,
    leaseUntil: now.monotonic + ENTRY_LEASE_MS,
  };
  const isListed = known !== undefined && known.draining === heartbeat.draining;
  const directory = isListed
    ? view.board.directory
    : createDirectory(view, [...listOthers(view, node), session]);
  return [
    {kind: 'put', section: 'sessions', key: node, value: session},
    ...(isListed ? [] : [setDirectory(directory)]),
    send(node, createUpdate(view, session, directory, heartbeat.sequence)),
  ];
}

function listOthers(view: SessionView, node: NodeId): readonly EntrySession[] {
  return [...view.board.sessions.values()].filter(
    session => session.entry.node !== node,
  );
}

function createDirectory(
  view: SessionView,
  sessions: readonly EntrySession[],
): EntryDirectory {
  return {
    version: view.board.directory.version + 1,
    entries: sessions.map(({entry, draining}) => ({address: entry, draining})),
  };
}

function setDirectory(value: EntryDirectory): SessionWrite {
  return {kind: 'set', section: 'directory', value};
}

function createUpdate(
  view: SessionView,
  session: EntrySession,
  directory: EntryDirectory,
  sequence: number | null,
): ControlToEntry {
  const {version} = view.board.applied;
  const delta = listDelta(view, session.version);
  return {
    kind: 'configurationUpdate',
    sequence,
    fromVersion: delta === undefined ? 0 : session.version,
    version,
    changes: delta ?? listAll(view),
    directory:
      session.directoryVersion === directory.version ? null : directory,
    leaseMs: ENTRY_LEASE_MS,
  };
}

/** Lists the changes since a version, if all of them are still kept. */
function listDelta(
  view: SessionView,
  version: ConfigurationVersion,
): readonly ConfigurationChange[] | undefined {
  const {history, applied} = view.board;
  if (version === applied.version) {
    return [];
  }
  if (version === 0 || !history.has(version)) {
    return undefined;
  }
  const changes: ConfigurationChange[] = [];
  for (const {value} of history.iterateFrom(version + 1)) {
    changes.push(...value);
  }
  return changes;
}

function listAll(view: SessionView): readonly ConfigurationChange[] {
  return [...view.board.configuration.values()].map(object => ({
    kind: 'put',
    object,
  }));
}

/** Sends new changes to every entry without waiting for its heartbeat. */
function pushChanges(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role, applied, sessions, directory} = view.board;
  const isChanged = view.readChanges('applied').size > 0;
  if (!isChanged || role.kind !== 'leader') {
    return [];
  }
  return [...sessions.values()]
    .filter(
      session =>
        session.version < applied.version && session.leaseUntil > now.monotonic,
    )
    .map(session =>
      send(session.entry.node, createUpdate(view, session, directory, null)),
    );
}

function expireSessions(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role, sessions} = view.board;
  if (role.kind !== 'leader') {
    return [...sessions.keys()].map(key => ({
      kind: 'delete',
      section: 'sessions',
      key,
    }));
  }
  const live = [...sessions.values()].filter(
    session => session.leaseUntil > now.monotonic,
  );
  if (live.length === sessions.size) {
    return [];
  }
  const gone = [...sessions.values()].filter(
    session => session.leaseUntil <= now.monotonic,
  );
  return [
    ...gone.map((session): SessionWrite => ({
      kind: 'delete',
      section: 'sessions',
      key: session.entry.node,
    })),
    setDirectory(createDirectory(view, live)),
  ];
}
