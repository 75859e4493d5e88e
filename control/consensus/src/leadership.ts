import type {TurnTime} from '@gentianshunt/board';
import {createLease, ENDED_LEASE} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {FollowerProgress} from '@gentianshunt/controlModel';
import type {
  LogEntry,
  LogIndex,
  LogPayload,
  Member,
} from '@gentianshunt/messages';

import {becomeFollower} from './becomeFollower.js';
import type {ConsensusDraft} from './consensusDraft.js';
import {
  clearJoinRequests,
  dropFulfilledJoinRequests,
  expireJoinRequests,
} from './joinRequests.js';
import {readCopiedIndex} from './lostFolders.js';
import {startLeaderClock, toSteadyInstant} from './leaderClock.js';
import {
  addMemberships,
  findQuorumValue,
  listMembers,
  listPeers,
} from './members.js';
import {sendAppend, sendHeartbeat} from './replication.js';
import {
  LEADER_HEARTBEAT_MS,
  clearFailedElections,
  FIRST_QUORUM_TIMEOUT_MS,
  LEADER_LEASE_MS,
  MAX_QUORUM_TIMEOUT_MS,
  QUORUM_ROUND_TRIPS,
  QUORUM_TIMEOUT_MS,
  scheduleTimer,
} from './timing.js';

/**
 * Makes this member the leader. It appends an entry of its own term, since
 * entries of earlier terms are committed only together with one of these.
 */
export function becomeLeader(draft: ConsensusDraft, now: TurnTime): void {
  const readIndex = draft.status.lastIndex + 1;
  startLeaderClock(draft, now);
  draft.set('role', {kind: 'leader', since: now.monotonic});
  clearFailedElections(draft);
  draft.set('leadership', {
    kind: 'leading',
    term: draft.ballot.term,
    readIndex,
    // Votes give no lease: voters may support another candidate next.
    confirmedSince: Number.NEGATIVE_INFINITY,
    roundTripMs: null,
    lease: ENDED_LEASE,
  });
  for (const {node} of listPeers(draft)) {
    draft.progress.put(node, createProgress(readIndex, now));
  }
  clearJoinRequests(draft);
  scheduleTimer(draft, 'heartbeat', LEADER_HEARTBEAT_MS);
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
    since: now.monotonic,
    lostSince: null,
    confirmedAt: Number.NEGATIVE_INFINITY,
    inFlight: [],
    inFlightAfter: nextIndex - 1,
    progressedAt: now.monotonic,
    transfer: null,
  };
}

/** Appends payloads to the leader's log and replicates them. */
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
  addMemberships(draft, entries);
  dropRemovedPeers(draft);
  dropFulfilledJoinRequests(draft);
  for (const peer of listPeers(draft)) {
    if (!known.has(peer.storage)) {
      // A new data folder holds nothing of what the node's former one held.
      draft.progress.put(peer.node, createProgress(first, now));
    }
    sendAppend(draft, peer, now);
  }
}

/** Drops the progress of members that were removed. */
function dropRemovedPeers(draft: ConsensusDraft): void {
  const nodes = new Set(listPeers(draft).map(({node}) => node));
  for (const node of draft.view.board.followerProgress.keys()) {
    if (!nodes.has(node)) {
      draft.progress.delete(node);
    }
  }
}

/** Sends heartbeats; steps down if no quorum has answered for too long. */
export function handleHeartbeatTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  const {role} = draft;
  if (role.kind !== 'leader') {
    return;
  }
  const contact = Math.max(role.since, computeQuorumContact(draft, now));
  if (now.monotonic - contact > computeQuorumTimeoutMs(draft)) {
    becomeFollower(draft, draft.ballot.term, null, now);
    return;
  }
  for (const peer of listPeers(draft)) {
    sendHeartbeat(draft, peer, now);
  }
  expireJoinRequests(draft, now);
  confirmLeadership(draft, now);
  scheduleTimer(draft, 'heartbeat', LEADER_HEARTBEAT_MS);
}

/**
 * Computes how long a leader waits for a quorum before it steps down. A leader
 * whose quorum answers slowly would otherwise lose the lead between two answers.
 */
function computeQuorumTimeoutMs(draft: ConsensusDraft): Milliseconds {
  const leadership = draft.read('leadership');
  const roundTripMs =
    leadership.kind === 'leading' ? leadership.roundTripMs : null;
  return roundTripMs === null
    ? FIRST_QUORUM_TIMEOUT_MS
    : Math.min(
        MAX_QUORUM_TIMEOUT_MS,
        Math.max(QUORUM_TIMEOUT_MS, QUORUM_ROUND_TRIPS * roundTripMs),
      );
}

/** Computes when the latest request that a quorum has answered was sent. */
function computeQuorumContact(
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

/** Extends the leader lease if a quorum has answered newer requests. */
export function confirmLeadership(draft: ConsensusDraft, now: TurnTime): void {
  const leadership = draft.read('leadership');
  if (leadership.kind !== 'leading') {
    return;
  }
  const confirmedSince = computeQuorumContact(draft, now);
  const since = toSteadyInstant(draft, confirmedSince);
  if (since === undefined || confirmedSince <= leadership.confirmedSince) {
    return;
  }
  const lease = createLease(since, LEADER_LEASE_MS);
  const roundTripMs = now.monotonic - confirmedSince;
  draft.set('leadership', {...leadership, confirmedSince, roundTripMs, lease});
}

/** Commits entries that a quorum has synced, if of the leader's own term. */
export function advanceCommitIndex(draft: ConsensusDraft): void {
  if (draft.role.kind !== 'leader') {
    return;
  }
  const {storage: self} = draft.view.board.identity;
  const candidate = findQuorumValue(draft, ({node, storage}: Member) =>
    storage === self
      ? draft.status.syncedIndex
      : readCopiedIndex(draft.progress.get(node)),
  );
  const isOwnTerm = draft.log.readTerm(candidate) === draft.ballot.term;
  if (candidate > draft.status.commitIndex && isOwnTerm) {
    draft.set('logStatus', {...draft.status, commitIndex: candidate});
  }
}

/** Steps down once a committed change removes this member as a voter. */
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
    becomeFollower(draft, draft.ballot.term, null, now);
  }
}
