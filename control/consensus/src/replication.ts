import type {TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  ConsensusMessage,
  LogEntry,
  LogIndex,
  LogPayload,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ConsensusDraft} from './consensusDraft.js';
import {followTerm, listPeers, readQuorum} from './election.js';
import {armHeartbeat, QUORUM_TIMEOUT_MS, resetElection} from './timing.js';

type AppendRequest = Extract<
  ConsensusMessage,
  {readonly kind: 'appendRequest'}
>;
type AppendReply = Extract<ConsensusMessage, {readonly kind: 'appendReply'}>;

/** Most entries in one append request. */
export const MAX_ENTRIES_PER_APPEND = 256;

/** Takes the lead and commits the term with an empty entry. */
export function becomeLeader(draft: ConsensusDraft, now: TurnTime): void {
  draft.setRole({kind: 'leader', since: now.monotonic});
  for (const peer of listPeers(draft)) {
    draft.setProgress(peer, {
      nextIndex: draft.status.lastIndex + 1,
      matchIndex: 0,
      confirmedAt: now.monotonic,
      inFlight: false,
      sentAt: now.monotonic,
      round: 0,
    });
  }
  armHeartbeat(draft);
  appendPayloads(draft, [{kind: 'noop'}], now);
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
  draft.append(entries, null);
  draft.setStatus({
    ...draft.status,
    lastIndex: draft.status.lastIndex + entries.length,
    lastTerm: term,
  });
  for (const peer of listPeers(draft)) {
    if (draft.readProgress(peer)?.inFlight === false) {
      sendAppend(draft, peer, now);
    }
  }
}

/** Sends a follower what it lacks, or a heartbeat. */
function sendAppend(draft: ConsensusDraft, peer: NodeId, now: TurnTime): void {
  const progress = draft.readProgress(peer)!;
  const previousIndex = progress.nextIndex - 1;
  const entries = listEntries(draft, progress.nextIndex);
  const round = progress.round + 1;
  draft.setProgress(peer, {
    ...progress,
    inFlight: entries.length > 0,
    sentAt: now.monotonic,
    round,
  });
  draft.send(peer, {
    kind: 'appendRequest',
    term: draft.ballot.term,
    previousIndex,
    previousTerm: draft.readEntry(previousIndex)?.term ?? 0,
    entries,
    commitIndex: draft.status.commitIndex,
    round,
  });
}

function listEntries(
  draft: ConsensusDraft,
  from: LogIndex,
): readonly LogEntry[] {
  const last = Math.min(
    draft.status.lastIndex,
    from + MAX_ENTRIES_PER_APPEND - 1,
  );
  const entries: LogEntry[] = [];
  for (let index = from; index <= last; index += 1) {
    entries.push(draft.readEntry(index)!);
  }
  return entries;
}

/** Sends heartbeats, and steps down when no quorum answers. */
export function handleHeartbeatTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  if (draft.role.kind !== 'leader') {
    return;
  }
  if (now.monotonic - readQuorumContact(draft, now) > QUORUM_TIMEOUT_MS) {
    followTerm(draft, draft.ballot.term, null, now);
    return;
  }
  for (const peer of listPeers(draft)) {
    sendAppend(draft, peer, now);
  }
  armHeartbeat(draft);
}

/** Finds the latest instant at which a quorum followed this leader. */
export function readQuorumContact(
  draft: ConsensusDraft,
  now: TurnTime,
): MonotonicTime {
  const contacts = listPeers(draft)
    .map(peer => draft.readProgress(peer)?.confirmedAt ?? 0)
    .concat(now.monotonic)
    .sort((left, right) => right - left);
  return contacts[readQuorum(draft) - 1]!;
}

/** Takes entries from the leader. */
export function handleAppendRequest(
  draft: ConsensusDraft,
  from: NodeId,
  request: AppendRequest,
  now: TurnTime,
): void {
  if (request.term < draft.ballot.term) {
    refuseAppend(draft, from, request, draft.status.lastIndex);
    return;
  }
  const isFollowing =
    request.term === draft.ballot.term &&
    draft.role.kind === 'follower' &&
    draft.role.leader === from;
  if (isFollowing) {
    resetElection(draft, now);
  } else {
    followTerm(draft, request.term, from, now);
  }
  if (!matchesPrevious(draft, request)) {
    const hint = Math.min(draft.status.lastIndex, request.previousIndex - 1);
    refuseAppend(draft, from, request, hint);
    return;
  }
  takeEntries(draft, request);
  const matchIndex = request.previousIndex + request.entries.length;
  const commitIndex = Math.min(request.commitIndex, matchIndex);
  if (commitIndex > draft.status.commitIndex) {
    draft.setStatus({...draft.status, commitIndex});
  }
  const reply: AppendReply = {
    kind: 'appendReply',
    term: draft.ballot.term,
    success: true,
    matchIndex,
    round: request.round,
  };
  if (request.entries.length === 0 && isFollowing) {
    // Nothing new is acknowledged beyond what was synced already.
    draft.send(from, {
      ...reply,
      matchIndex: Math.min(matchIndex, draft.status.syncedIndex),
    });
    return;
  }
  draft.sendAfterSync(from, reply);
}

function refuseAppend(
  draft: ConsensusDraft,
  to: NodeId,
  request: AppendRequest,
  matchIndex: LogIndex,
): void {
  draft.sendAfterSync(to, {
    kind: 'appendReply',
    term: draft.ballot.term,
    success: false,
    matchIndex,
    round: request.round,
  });
}

function matchesPrevious(
  draft: ConsensusDraft,
  request: AppendRequest,
): boolean {
  if (request.previousIndex === 0) {
    return true;
  }
  const previous = draft.readEntry(request.previousIndex);
  return previous?.term === request.previousTerm;
}

/** Appends what is new and removes what conflicts. */
function takeEntries(draft: ConsensusDraft, request: AppendRequest): void {
  const start = request.entries.findIndex(
    entry => draft.readEntry(entry.index)?.term !== entry.term,
  );
  if (start < 0) {
    return;
  }
  const added = request.entries.slice(start);
  const from = added[0]!.index;
  const conflicts = from <= draft.status.lastIndex;
  draft.append(added, conflicts ? from : null);
  const last = added[added.length - 1]!;
  draft.setStatus({
    ...draft.status,
    lastIndex: last.index,
    lastTerm: last.term,
    syncedIndex: Math.min(draft.status.syncedIndex, from - 1),
  });
}

/** Notes how far a follower has come. */
export function handleAppendReply(
  draft: ConsensusDraft,
  from: NodeId,
  reply: AppendReply,
  now: TurnTime,
): void {
  if (reply.term > draft.ballot.term) {
    followTerm(draft, reply.term, null, now);
    return;
  }
  const progress = draft.readProgress(from);
  if (
    draft.role.kind !== 'leader' ||
    reply.term !== draft.ballot.term ||
    progress === undefined
  ) {
    return;
  }
  const isLatest = reply.round === progress.round;
  const confirmedAt = isLatest ? progress.sentAt : progress.confirmedAt;
  const matchIndex = reply.success
    ? Math.max(progress.matchIndex, reply.matchIndex)
    : progress.matchIndex;
  const nextIndex = reply.success
    ? Math.max(progress.nextIndex, matchIndex + 1)
    : Math.max(progress.matchIndex + 1, reply.matchIndex + 1);
  draft.setProgress(from, {
    ...progress,
    matchIndex,
    nextIndex,
    confirmedAt,
    inFlight: progress.inFlight && !isLatest,
  });
  advanceCommit(draft);
  if (nextIndex <= draft.status.lastIndex && isLatest) {
    sendAppend(draft, from, now);
  }
}

/** Commits what a quorum holds, if it is of the leader's own term. */
export function advanceCommit(draft: ConsensusDraft): void {
  if (draft.role.kind !== 'leader') {
    return;
  }
  const matches = listPeers(draft)
    .map(peer => draft.readProgress(peer)?.matchIndex ?? 0)
    .concat(draft.status.syncedIndex)
    .sort((left, right) => right - left);
  const candidate = matches[readQuorum(draft) - 1]!;
  const isOwnTerm = draft.readEntry(candidate)?.term === draft.ballot.term;
  if (candidate > draft.status.commitIndex && isOwnTerm) {
    draft.setStatus({...draft.status, commitIndex: candidate});
  }
}
