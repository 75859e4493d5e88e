// Heartbeats that this daemon cannot answer yet, and what it tells their entries.
import type {TurnTime} from '@gentianshunt/board';
import type {
  EntryHeartbeat,
  WaitingHeartbeat,
  WaitingHeartbeats,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId} from '@gentianshunt/identifiers';

import {
  canAnswer,
  computeEntryLeaseMs,
  findUnconfirmedReason,
} from './leaderStatus.js';
import {sendMembers} from './memberUpdates.js';
import {send} from './sessionWrites.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';

/** A heartbeat that may be answered, and what then waits of its entry. */
interface Answerable {
  readonly waiting: WaitingHeartbeat;
  readonly rest: SessionWrite;
}

/**
 * Tells an entry why its heartbeat is not answered: another daemon leads, or this
 * one is not confirmed. Keeps the heartbeat, beside the entry's oldest that waits.
 */
export function putWaiting(
  view: SessionView,
  heartbeat: EntryHeartbeat,
  now: TurnTime,
): readonly SessionWrite[] {
  const {identity, waitingHeartbeats} = view.board;
  const {entry, incarnation} = heartbeat;
  const latest: WaitingHeartbeat = {heartbeat, receivedAt: now.monotonic};
  const oldest = waitingHeartbeats.get(entry.node)?.oldest;
  const isKept =
    oldest !== undefined &&
    oldest.heartbeat.incarnation === incarnation &&
    isUseful(oldest, identity, now);
  return [
    replaceWaiting(entry.node, {oldest: isKept ? oldest : latest, latest}),
    ...sendReason(view, heartbeat, now),
  ];
}

/** Drops the heartbeats of an entry that wait, as a newer one is answered. */
export function dropWaiting(
  {board}: SessionView,
  node: NodeId,
): readonly SessionWrite[] {
  return board.waitingHeartbeats.has(node) ? [removeWaiting(node)] : [];
}

/** Finds the newest waiting heartbeat of an entry that may be answered now. */
export function findAnswerable(
  board: SessionView['board'],
  node: NodeId,
  {oldest, latest}: WaitingHeartbeats,
  now: TurnTime,
): Answerable | undefined {
  if (canAnswer(board, latest.receivedAt, now)) {
    return {waiting: latest, rest: removeWaiting(node)};
  }
  return canAnswer(board, oldest.receivedAt, now)
    ? {
        waiting: oldest,
        rest: replaceWaiting(node, {oldest: latest, latest}),
      }
    : undefined;
}

/**
 * Tells the entries whose heartbeats wait who leads now, when this daemon has
 * learnt it or has been elected.
 */
export function notifyWaiting(
  view: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role, waitingHeartbeats} = view.board;
  if (view.readChanges('role').size === 0) {
    return [];
  }
  const waiting = [...waitingHeartbeats.values()].map(
    ({latest}) => latest.heartbeat,
  );
  switch (role.kind) {
    case 'leader':
      return waiting.flatMap(each => sendReason(view, each, now));
    case 'follower':
      return role.leader === null
        ? []
        : waiting.flatMap(each => [
            ...sendReason(view, each, now),
            removeWaiting(each.entry.node),
          ]);
    case 'preCandidate':
    case 'candidate':
      return [];
    default:
      return assertNever(role, 'notifyWaiting');
  }
}

/** Drops heartbeats whose reply could renew no lease any more. */
export function expireWaiting(
  {board}: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  return [...board.waitingHeartbeats]
    .filter(([, {latest}]) => !isUseful(latest, board.identity, now))
    .map(([node]) => removeWaiting(node));
}

function isUseful(
  {receivedAt}: WaitingHeartbeat,
  identity: SessionView['board']['identity'],
  now: TurnTime,
): boolean {
  return now.monotonic - receivedAt < computeEntryLeaseMs(identity);
}

/** Removes the heartbeats of an entry that wait. */
function removeWaiting(key: NodeId): SessionWrite {
  return {kind: 'delete', section: 'waitingHeartbeats', key};
}

function replaceWaiting(key: NodeId, value: WaitingHeartbeats): SessionWrite {
  return {kind: 'put', section: 'waitingHeartbeats', key, value};
}

function sendReason(
  view: SessionView,
  {entry, incarnation, sequence}: EntryHeartbeat,
  now: TurnTime,
): readonly SessionWrite[] {
  const {role} = view.board;
  const {node} = entry;
  if (role.kind !== 'leader') {
    const leader = role.kind === 'follower' ? role.leader : null;
    return [
      send(node, {kind: 'notLeader', sequence, leader}),
      ...sendMembers(view, node),
    ];
  }
  const reason = findUnconfirmedReason(view.board, now);
  return reason === undefined
    ? []
    : [send(node, {kind: 'leaderUnconfirmed', incarnation, sequence, reason})];
}
