import type {
  ControlObservation,
  ControlSections,
  ControlWrite,
  EntrySession,
} from '@gentianshunt/controlModel';
import type {View} from '@gentianshunt/board';
import type {ControlToEntry} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** The sections that the session controller reads. */
export type SessionReads =
  | 'identity'
  | 'role'
  | 'leadership'
  | 'ballot'
  | 'memberships'
  | 'applied'
  | 'configuration'
  | 'history'
  | SessionWrites;
/** The sections that the session controller writes. */
export type SessionWrites =
  | 'sessions'
  | 'sessionVersions'
  | 'sessionLeases'
  | 'waitingHeartbeats'
  | 'sharedUpdates'
  | 'directory'
  | 'directoryHistory';
/** The part of the board that the session controller reads. */
export type SessionView = View<
  ControlSections,
  SessionReads,
  ControlObservation
>;
/** A write of the session controller. */
export type SessionWrite = ControlWrite<SessionWrites>;

/** Sends a message to an entry. */
export function send(to: NodeId, message: ControlToEntry): SessionWrite {
  return {kind: 'effect', effect: {kind: 'sendEntry', to, message}};
}

/** Replaces a session and its keys in the indexes. */
export function replaceSession(
  current: EntrySession | undefined,
  next: EntrySession,
): readonly SessionWrite[] {
  const {node} = next.entry;
  return [
    {kind: 'put', section: 'sessions', key: node, value: next},
    ...(current?.confirmedVersion === next.confirmedVersion
      ? []
      : [...removeVersion(current), putVersion(next)]),
    ...(current?.leaseUntil === next.leaseUntil
      ? []
      : [...removeLease(current), putLease(next)]),
  ];
}

/** Removes a session and its keys in the indexes. */
export function removeSession(session: EntrySession): readonly SessionWrite[] {
  return [
    ...removeVersion(session),
    ...removeLease(session),
    {kind: 'delete', section: 'sessions', key: session.entry.node},
  ];
}

function putVersion({entry, confirmedVersion}: EntrySession): SessionWrite {
  const key = {version: confirmedVersion, node: entry.node};
  return {kind: 'put', section: 'sessionVersions', key, value: true};
}

function putLease({entry, leaseUntil}: EntrySession): SessionWrite {
  const key = {leaseUntil, node: entry.node};
  return {kind: 'put', section: 'sessionLeases', key, value: true};
}

function removeVersion(
  session: EntrySession | undefined,
): readonly SessionWrite[] {
  if (session === undefined) {
    return [];
  }
  const key = {version: session.confirmedVersion, node: session.entry.node};
  return [{kind: 'delete', section: 'sessionVersions', key}];
}

function removeLease(
  session: EntrySession | undefined,
): readonly SessionWrite[] {
  if (session === undefined) {
    return [];
  }
  const key = {leaseUntil: session.leaseUntil, node: session.entry.node};
  return [{kind: 'delete', section: 'sessionLeases', key}];
}
