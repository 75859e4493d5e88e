import type {TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {FollowerProgress} from '@gentianshunt/controlModel';
import type {
  LogEntry,
  LogIndex,
  LogPayload,
  Member,
} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import {
  findQuorumValue,
  listMembers,
  listPeers,
  noteMemberships,
} from './members.js';
import {sendAppend, sendHeartbeat} from './replication.js';
import {followTerm} from './terms.js';
import {
  armTimer,
  LEADER_HEARTBEAT_MS,
  LEADER_LEASE_MS,
  QUORUM_TIMEOUT_MS,
} from './timing.js';

/** Takes the lead and commits the term with an entry of its own. */
export function becomeLeader(draft: ConsensusDraft, now: TurnTime): void {
  const readIndex = draft.status.lastIndex + 1;
  draft.set('role', {kind: 'leader', since: now.monotonic});
  draft.set('leadership', {
    kind: 'leading',
    term: draft.ballot.term,
    readIndex,
    // A vote promises nothing about the time that follows it.
    confirmedSince: Number.NEGATIVE_INFINITY,
    confirmedUntil: Number.NEGATIVE_INFINITY,
  });
  for (const {node} of listPeers(draft)) {
    draft.progress.put(node, createProgress(readIndex, now));
  }
  [...draft.view.board.applicants.keys()].forEach(draft.applicants.delete);
  armTimer(draft, 'heartbeat', LEADER_HEARTBEAT_MS);
  const members = listMembers(draft);
  const first: LogPayload =
    readIndex === 1 ? {kind: 'membership', members} : {kind: 'noop'};
  appendPayloads(draft, [first], now);
  confirmLeadership(draft, now);
}

function createProgress(nextIndex: LogIndex, now: TurnTime): FollowerProgress {
  return {
    nextIndex,
    matchIndex: 0,
    confirmedAt: Number.NEGATIVE_INFINITY,
    inFlight: [],
    progressedAt: now.monotonic,
    transfer: null,
  };
}

/** Appends payloads as the leader and sends them on. */
export function appendPayloads(
  draft: ConsensusDraft,
  payloads: readonly LogPayload[],
  now: TurnTime,
): void {
  const {term} = draft.ballot;
  const first = draft.status.lastIndex + 1;
  const entries = payloads.map((payload, offset): LogEntry => ({
    index: first + offset,
    term,
    payload,
  }));
  const known = new Set(listPeers(draft).map(({storage}) => storage));
  draft.log.append(entries);
  noteMemberships(draft, entries);
  for (const peer of listPeers(draft)) {
    if (!known.has(peer.storage)) {
      // What the node's former folder held says nothing of the new one.
      draft.progress.put(peer.node, createProgress(first, now));
    }
    sendAppend(draft, peer, now);
  }
}

/** Sends heartbeats, and steps down when no quorum answers. */
export function handleHeartbeatTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  const {role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const contact = Math.max(role.since, readQuorumContact(draft, now));
  if (now.monotonic - contact > QUORUM_TIMEOUT_MS) {
    followTerm(draft, draft.ballot.term, null, now);
    return;
  }
  for (const peer of listPeers(draft)) {
    sendHeartbeat(draft, peer, now);
  }
  confirmLeadership(draft, now);
  armTimer(draft, 'heartbeat', LEADER_HEARTBEAT_MS);
}

/** Finds the latest sending time that a quorum has answered. */
function readQuorumContact(
  draft: ConsensusDraft,
  now: TurnTime,
): MonotonicTime {
  const {storage: self} = draft.view.board.identity;
  return findQuorumValue(draft, ({node, storage}) =>
    storage === self
      ? now.monotonic
      : (draft.progress.get(node)?.confirmedAt ?? Number.NEGATIVE_INFINITY),
  );
}

/** Publishes how long and since when a quorum is known to follow. */
export function confirmLeadership(draft: ConsensusDraft, now: TurnTime): void {
  const leadership = draft.read('leadership');
  if (leadership.kind !== 'leading') {
    return;
  }
  const confirmedSince = readQuorumContact(draft, now);
  if (confirmedSince <= leadership.confirmedSince) {
    return;
  }
  const confirmedUntil = confirmedSince + LEADER_LEASE_MS;
  draft.set('leadership', {...leadership, confirmedSince, confirmedUntil});
}

/** Commits what a quorum holds, if it is of the leader's own term. */
export function advanceCommit(draft: ConsensusDraft): void {
  if (draft.role.kind !== 'leader') {
    return;
  }
  const {storage: self} = draft.view.board.identity;
  const candidate = findQuorumValue(draft, ({node, storage}: Member) =>
    storage === self
      ? draft.status.syncedIndex
      : (draft.progress.get(node)?.matchIndex ?? 0),
  );
  const isOwnTerm = draft.log.readTerm(candidate) === draft.ballot.term;
  if (candidate > draft.status.commitIndex && isOwnTerm) {
    draft.set('logStatus', {...draft.status, commitIndex: candidate});
  }
}

/** A leader that its own log has removed leads no further. */
export function stepDownIfRemoved(draft: ConsensusDraft, now: TurnTime): void {
  const {storage} = draft.view.board.identity;
  const memberships = draft.read('memberships');
  const last = memberships[memberships.length - 1];
  if (
    draft.role.kind !== 'leader' ||
    last === undefined ||
    last.index > draft.status.commitIndex
  ) {
    return;
  }
  const isVoting = last.members.some(
    member => member.storage === storage && member.role === 'voter',
  );
  if (!isVoting) {
    followTerm(draft, draft.ballot.term, null, now);
  }
}
