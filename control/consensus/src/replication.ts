import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {FollowerProgress} from '@gentianshunt/controlModel';
import {measureItems} from '@gentianshunt/messages';
import type {LogIndex, Member} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import type {AppendReply} from './messageTypes.js';
import {RETRANSMIT_MS, SLOW_LINK_BYTES_PER_MS} from './timing.js';
import {listChunkItems, resendChunk, startTransfer} from './snapshotSender.js';

/** Maximum number of entries in one append request. */
export const MAX_ENTRIES_PER_APPEND = 256;
/** Maximum size of one append request with several entries, in bytes. */
export const MAX_APPEND_BYTES = 128 * 1_024;
/** Maximum number of unanswered append requests with entries. */
export const MAX_APPENDS_IN_FLIGHT = 2;
/** Bytes of entries in flight that no later message overtakes. */
const MAX_ORDERED_BYTES = 4 * 1_024;
/** Unanswered bytes at which no further append request is sent. */
export const MAX_BYTES_IN_FLIGHT = 128 * 1_024;

/**
 * Sends a follower the next entries, up to the in-flight limit, or a snapshot
 * if the log no longer holds them.
 */
export function sendAppend(
  draft: ConsensusDraft,
  peer: Member,
  now: TurnTime,
): void {
  const progress = draft.progress.get(peer.node)!;
  const isDue =
    progress.nextIndex <= draft.status.lastIndex &&
    progress.inFlight.length < MAX_APPENDS_IN_FLIGHT &&
    measureBytesInFlight(draft, progress) < MAX_BYTES_IN_FLIGHT &&
    progress.transfer === null;
  if (!isDue) {
    return;
  }
  if (progress.nextIndex <= draft.status.base.index) {
    startTransfer(draft, peer, now);
    return;
  }
  const entries = draft.log.listEntriesWithin(progress.nextIndex, {
    entries: MAX_ENTRIES_PER_APPEND,
    bytes: MAX_APPEND_BYTES,
  });
  const lastIndex = entries[entries.length - 1]!.index;
  draft.progress.put(peer.node, {
    ...progress,
    nextIndex: lastIndex + 1,
    ...startFlight(progress, now),
    inFlight: [...progress.inFlight, lastIndex],
  });
  sendAppendRequest(draft, peer, progress.nextIndex - 1, entries.length, now);
}

/** Records where and when the entries in flight begin, if none are yet. */
function startFlight(
  {inFlight, inFlightAfter, nextIndex, progressedAt}: FollowerProgress,
  now: TurnTime,
): Pick<FollowerProgress, 'inFlightAfter' | 'progressedAt'> {
  return inFlight.length === 0
    ? {inFlightAfter: nextIndex - 1, progressedAt: now.monotonic}
    : {inFlightAfter, progressedAt};
}

/** Finds the index before the first entry that is not answered. */
function findAnsweredIndex({
  matchIndex,
  inFlightAfter,
}: FollowerProgress): LogIndex {
  return Math.max(matchIndex, inFlightAfter);
}

/** Measures the bytes of the entries that are sent and not answered. */
function measureBytesInFlight(
  draft: ConsensusDraft,
  progress: FollowerProgress,
): number {
  return progress.inFlight.length === 0
    ? 0
    : draft.log.measureBytes(
        findAnsweredIndex(progress),
        progress.nextIndex - 1,
      );
}

function sendAppendRequest(
  draft: ConsensusDraft,
  peer: Member,
  previousIndex: LogIndex,
  count: number,
  now: TurnTime,
): void {
  const {node, storage} = peer;
  draft.send(
    {node, storage},
    {
      kind: 'appendRequest',
      term: draft.ballot.term,
      previousIndex,
      previousTerm: draft.log.readTerm(previousIndex) ?? 0,
      entries: draft.log.listEntries(previousIndex + 1, count),
      commitIndex: draft.status.commitIndex,
      syncedIndex: draft.status.syncedIndex,
      // Rounded down, so that a lease never starts later than the request.
      sentAt: Math.floor(now.monotonic),
    },
  );
}

/** Sends a heartbeat, or resends what has not been answered in time. */
export function sendHeartbeat(
  draft: ConsensusDraft,
  peer: Member,
  now: TurnTime,
): void {
  const progress = draft.progress.get(peer.node)!;
  const isUnacknowledged =
    progress.inFlight.length > 0 || progress.transfer !== null;
  const isRetransmitDue =
    now.monotonic - progress.progressedAt >=
    RETRANSMIT_MS + computeTransmitMs(draft, progress);
  if (isUnacknowledged && isRetransmitDue) {
    resend(draft, peer, progress, now);
    return;
  }
  const previousIndex = findHeartbeatIndex(draft, progress);
  const isKnown = previousIndex >= draft.status.base.index;
  sendAppendRequest(draft, peer, isKnown ? previousIndex : 0, 0, now);
}

/**
 * Finds the index that a heartbeat names as the one before it. A heartbeat may
 * overtake large messages, and must not be refused for that.
 */
function findHeartbeatIndex(
  draft: ConsensusDraft,
  progress: FollowerProgress,
): LogIndex {
  if (progress.transfer !== null) {
    return progress.matchIndex;
  }
  return measureBytesInFlight(draft, progress) > MAX_ORDERED_BYTES
    ? findAnsweredIndex(progress)
    : progress.nextIndex - 1;
}

/** Computes how long a slow link takes to carry what is not answered. */
function computeTransmitMs(
  draft: ConsensusDraft,
  progress: FollowerProgress,
): Milliseconds {
  const {transfer} = progress;
  const bytes =
    transfer === null
      ? measureBytesInFlight(draft, progress)
      : measureItems(listChunkItems(transfer));
  return bytes / SLOW_LINK_BYTES_PER_MS;
}

function resend(
  draft: ConsensusDraft,
  peer: Member,
  progress: FollowerProgress,
  now: TurnTime,
): void {
  if (progress.transfer !== null) {
    resendChunk(draft, peer, progress, now);
    return;
  }
  draft.progress.put(peer.node, {
    ...progress,
    nextIndex: findAnsweredIndex(progress) + 1,
    inFlight: [],
    progressedAt: now.monotonic,
  });
  sendAppend(draft, peer, now);
}

/** Updates a follower's progress from its reply to an append request. */
export function handleAppendReply(
  draft: ConsensusDraft,
  peer: Member,
  reply: AppendReply,
  now: TurnTime,
): void {
  const progress = draft.progress.get(peer.node)!;
  const confirmedAt = Math.max(progress.confirmedAt, reply.sentAt);
  const updated = reply.success
    ? advanceProgress(progress, reply.matchIndex, now)
    : resetProgress(progress, reply.matchIndex);
  draft.progress.put(peer.node, {...updated, confirmedAt});
  sendAppend(draft, peer, now);
}

/** Raises a follower's match index to an index that it has synced. */
export function advanceProgress(
  progress: FollowerProgress,
  index: LogIndex,
  now: TurnTime,
): FollowerProgress {
  const matchIndex = Math.max(progress.matchIndex, index);
  const {transfer} = progress;
  const isTransferred =
    transfer !== null && matchIndex >= transfer.snapshot.index;
  return {
    ...progress,
    transfer: isTransferred ? null : transfer,
    matchIndex,
    nextIndex: Math.max(progress.nextIndex, matchIndex + 1),
    inFlight: progress.inFlight.filter(last => last > matchIndex),
    progressedAt:
      matchIndex > progress.matchIndex ? now.monotonic : progress.progressedAt,
  };
}

/** Moves the next index back to where the logs may match. */
function resetProgress(
  progress: FollowerProgress,
  hint: LogIndex,
): FollowerProgress {
  return {
    ...progress,
    nextIndex: Math.max(progress.matchIndex, hint) + 1,
    inFlight: [],
  };
}
