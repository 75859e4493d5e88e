// Heartbeats that this daemon cannot answer yet, and what it tells their entries.
import type {TurnTime} from '@gentianshunt/board';
import type {EntryHeartbeat} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId} from '@gentianshunt/identifiers';

import {computeEntryLeaseMs, findUnconfirmedReason} from './leaderStatus.js';
import {sendMembers} from './memberUpdates.js';
import {send} from './sessionWrites.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';

/**
 * Tells an entry why its heartbeat is not answered: another daemon leads, or this
 * one is not confirmed. Keeps the heartbeat, the latest one of each entry.
 */
export function putWaiting(
  view: SessionView,
  heartbeat: EntryHeartbeat,
  now: TurnTime,
): readonly SessionWrite[] {
  const {node} = heartbeat.entry;
  return [
    {
      kind: 'put',
      section: 'waitingHeartbeats',
      key: node,
      value: {heartbeat, receivedAt: now.monotonic},
    },
    ...sendReason(view, heartbeat, now),
  ];
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
  const waiting = [...waitingHeartbeats.values()].map(each => each.heartbeat);
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
  const usefulMs = computeEntryLeaseMs(board.identity);
  return [...board.waitingHeartbeats]
    .filter(([, {receivedAt}]) => now.monotonic - receivedAt >= usefulMs)
    .map(([node]) => removeWaiting(node));
}

/** Removes the heartbeat of an entry that waits. */
export function removeWaiting(key: NodeId): SessionWrite {
  return {kind: 'delete', section: 'waitingHeartbeats', key};
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
