// What entries learn of changes of the configuration.
import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import type {
  ConfigurationVersion,
  ControlToEntry,
  DirectoryUpdate,
  EntryToControl,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {createDelta} from './configurationDelta.js';
import type {ConfigurationDelta} from './configurationDelta.js';
import {computeEntryLeaseMs} from './leaderStatus.js';
import {replaceSession, send} from './sessionWrites.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';
import {createDelivery} from './updateDelivery.js';

type Confirmation = Extract<
  EntryToControl,
  {readonly kind: 'versionConfirmed'}
>;

/** A message that brings an entry to a configuration version. */
export type ConfigurationUpdate = Extract<
  ControlToEntry,
  {readonly kind: 'configurationUpdate'}
>;

/** The heartbeat that an update answers. */
type AnsweredHeartbeat = Pick<
  Extract<EntryToControl, {readonly kind: 'entryHeartbeat'}>,
  'sequence' | 'incarnation'
>;

/** Creates the message with the changes that an entry lacks. */
export function createConfigurationUpdate(
  view: SessionView,
  delta: ConfigurationDelta,
  answered: AnsweredHeartbeat | null,
  directory: DirectoryUpdate | null,
): ConfigurationUpdate {
  return {
    kind: 'configurationUpdate',
    sequence: answered?.sequence ?? null,
    incarnation: answered?.incarnation ?? null,
    fromVersion: delta.fromVersion,
    version: view.board.applied.version,
    changes: delta.changes,
    directory,
    leaseMs: computeEntryLeaseMs(view.board.identity),
  };
}

/**
 * Records the version that an entry has confirmed, and sends it the changes
 * that were applied since.
 */
export function confirmVersion(
  view: SessionView,
  from: NodeId,
  message: Confirmation,
  now: TurnTime,
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
  const isContinued = current.delivery.version > version;
  if (version >= latest || isContinued) {
    return replaceSession(current, confirmed);
  }
  const delivery = createDelivery(latest, now);
  return [
    ...replaceSession(current, {...confirmed, delivery}),
    send(from, createPush(view, version)),
  ];
}

/** Creates the message that brings an entry from a version to the latest. */
function createPush(
  view: SessionView,
  version: ConfigurationVersion,
): ConfigurationUpdate {
  const delta = createDelta(view.board, version);
  return createConfigurationUpdate(view, delta, null, null);
}

/**
 * Sends new changes without waiting for heartbeats. An entry that has not yet
 * confirmed the previous push receives the newer changes once it does.
 */
export function pushChanges(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role, applied, sessions, sessionVersions} = view.board;
  const isChanged = view.readChanges('applied').size > 0;
  if (!isChanged || role.kind !== 'leader') {
    return [];
  }
  // Entries at the same version share one message, which is encoded once.
  const updates = new Map<ConfigurationVersion, ConfigurationUpdate>();
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
      session.delivery.version > session.confirmedVersion;
    if (isConfirmationPending || session.leaseUntil <= now.monotonic) {
      continue;
    }
    const update = updates.get(key.version) ?? createPush(view, key.version);
    updates.set(key.version, update);
    writes.push(
      ...replaceSession(session, {
        ...session,
        delivery: createDelivery(applied.version, now),
      }),
      send(key.node, update),
    );
  }
  return writes;
}
