// The answers to entries' heartbeats by a confirmed leader.
import type {TurnTime} from '@gentianshunt/board';
import type {EntryHeartbeat, EntrySession} from '@gentianshunt/controlModel';

import {createDelta} from './configurationDelta.js';
import {createConfigurationUpdate} from './configurationUpdates.js';
import {createDirectoryUpdate, toDirectoryEntry} from './directoryDelta.js';
import type {DirectoryStep} from './directoryDelta.js';
import {createDirectoryStep, writeDirectoryStep} from './directorySteps.js';
import {computeEntryLeaseMs, isLeaseRecoveryOver} from './leaderStatus.js';
import {sendMembers} from './memberUpdates.js';
import {replaceSession, send} from './sessionWrites.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';

/** A session that a heartbeat renews. */
interface Renewal {
  readonly heartbeat: EntryHeartbeat;
  readonly current: EntrySession | undefined;
  readonly session: EntrySession;
}

/**
 * Renews the sessions of entries by heartbeats, at most one of each entry, and
 * answers all of them with the directory that results.
 */
export function renewSessions(
  view: SessionView,
  heartbeats: readonly EntryHeartbeat[],
  now: TurnTime,
): readonly SessionWrite[] {
  const renewals = heartbeats.map(each => createRenewal(view, each, now));
  const steps = createSteps(view, renewals);
  return [
    ...renewals.flatMap(({current, session}) =>
      replaceSession(current, session),
    ),
    ...steps.flatMap((step, index) =>
      writeDirectoryStep(
        view,
        steps[index - 1]?.version ?? view.board.directory,
        step,
      ),
    ),
    ...renewals.flatMap(renewal => answerHeartbeat(view, renewal, steps, now)),
  ];
}

function createRenewal(
  {board}: SessionView,
  heartbeat: EntryHeartbeat,
  now: TurnTime,
): Renewal {
  const {entry, version, draining, incarnation, setsInUse} = heartbeat;
  const session: EntrySession = {
    entry,
    incarnation,
    draining,
    confirmedVersion: version,
    sentVersion: Math.max(version, board.applied.version),
    directoryVersion: heartbeat.directoryVersion,
    leaseUntil: now.monotonic + computeEntryLeaseMs(board.identity),
    setsInUse,
  };
  return {heartbeat, current: board.sessions.get(entry.node), session};
}

/** Creates the directory's changes, each from the version before it. */
function createSteps(
  view: SessionView,
  renewals: readonly Renewal[],
): readonly DirectoryStep[] {
  const steps: DirectoryStep[] = [];
  for (const {current, session} of renewals) {
    if (!isDirectoryEntryCurrent(current, session)) {
      const previous = steps.at(-1)?.version ?? view.board.directory;
      const entry = toDirectoryEntry(session);
      steps.push(createDirectoryStep(view, previous, {kind: 'put', entry}));
    }
  }
  return steps;
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

function answerHeartbeat(
  view: SessionView,
  {heartbeat, current}: Renewal,
  latest: readonly DirectoryStep[],
  now: TurnTime,
): readonly SessionWrite[] {
  const {node} = heartbeat.entry;
  const directory = createDirectoryUpdate({
    board: view.board,
    entryVersion: heartbeat.directoryVersion,
    latest,
    isLeaseRecoveryOver: isLeaseRecoveryOver(view.board.role, now),
  });
  const update = createConfigurationUpdate(
    view,
    createDelta(view.board, heartbeat.version),
    heartbeat,
    directory,
  );
  return [
    ...(current === undefined ? sendMembers(view, node) : []),
    send(node, update),
  ];
}
