// The answers to entries' heartbeats by a confirmed leader.
import type {TurnTime} from '@gentianshunt/board';
import type {
  EntryHeartbeat,
  EntrySession,
  WaitingHeartbeat,
} from '@gentianshunt/controlModel';
import type {ConfigurationVersion} from '@gentianshunt/messages';

import {createDelta} from './configurationDelta.js';
import {createConfigurationUpdate} from './configurationUpdates.js';
import {createDirectoryUpdate, toDirectoryEntry} from './directoryDelta.js';
import type {DirectoryStep} from './directoryDelta.js';
import {createDirectoryStep, writeDirectoryStep} from './directorySteps.js';
import {computeEntryLeaseMs, isLeaseRecoveryOver} from './leaderStatus.js';
import {sendMembers} from './memberUpdates.js';
import {replaceSession, send} from './sessionWrites.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';
import {findSharedUpdate, storeUpdates} from './sharedUpdates.js';
import type {UpdateDraft} from './sharedUpdates.js';
import {planDelivery} from './updateDelivery.js';

/** A session that a heartbeat renews. */
interface Renewal {
  readonly heartbeat: EntryHeartbeat;
  readonly current: EntrySession | undefined;
  readonly session: EntrySession;
  /** The version from which the entry is sent changes. */
  readonly from: ConfigurationVersion;
}

/** What the answers of a turn have in common. */
interface Answers {
  readonly steps: readonly DirectoryStep[];
  readonly updates: UpdateDraft;
}

/**
 * Renews the sessions of entries by heartbeats, at most one of each entry, and
 * answers all of them with the directory that results.
 */
export function renewSessions(
  view: SessionView,
  heartbeats: readonly WaitingHeartbeat[],
  now: TurnTime,
): readonly SessionWrite[] {
  const renewals = heartbeats.map(each => createRenewal(view, each, now));
  const steps = createSteps(view, renewals);
  const updates: UpdateDraft = new Map();
  const answers = renewals.flatMap(renewal =>
    answerHeartbeat(view, renewal, {steps, updates}, now),
  );
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
    ...storeUpdates(view, updates, now),
    ...answers,
  ];
}

function createRenewal(
  {board}: SessionView,
  {heartbeat, receivedAt}: WaitingHeartbeat,
  now: TurnTime,
): Renewal {
  const {entry, version, draining, incarnation, setsInUse} = heartbeat;
  const {isIsolated = false} = heartbeat;
  const current = board.sessions.get(entry.node);
  const latest = board.applied.version;
  const {delivery, from} = planDelivery(current, heartbeat, latest, now);
  const session: EntrySession = {
    entry,
    incarnation,
    draining,
    isIsolated,
    confirmedVersion: version,
    delivery,
    directoryVersion: heartbeat.directoryVersion,
    // The entry counts its lease from the sending of the heartbeat.
    leaseUntil: Math.max(
      current?.leaseUntil ?? Number.NEGATIVE_INFINITY,
      receivedAt + computeEntryLeaseMs(board.identity),
    ),
    setsInUse,
  };
  return {heartbeat, current, session, from};
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
    current.isIsolated === session.isIsolated &&
    current.incarnation === session.incarnation
  );
}

/**
 * Sends the changes that an entry lacks, in a message that it may share with
 * others, and after them the reply that renews its lease once it holds them.
 */
function answerHeartbeat(
  view: SessionView,
  {heartbeat, current, from}: Renewal,
  {steps, updates}: Answers,
  now: TurnTime,
): readonly SessionWrite[] {
  const {board} = view;
  const {node} = heartbeat.entry;
  const isBehind = from < board.applied.version;
  const directory = createDirectoryUpdate({
    board,
    entryVersion: heartbeat.directoryVersion,
    latest: steps,
    isLeaseRecoveryOver: isLeaseRecoveryOver(board.role, now),
  });
  const held = Math.max(from, board.applied.version);
  const reply = createConfigurationUpdate(
    view,
    createDelta(board, held),
    heartbeat,
    directory,
  );
  return [
    ...(current === undefined ? sendMembers(view, node) : []),
    ...(isBehind ? [send(node, findSharedUpdate(view, updates, from))] : []),
    send(node, reply),
  ];
}
