import type {TurnTime} from '@gentianshunt/board';
import type {LogEntry, LogIndex} from '@gentianshunt/messages';

import {becomeFollower} from './becomeFollower.js';
import type {ConsensusDraft} from './consensusDraft.js';
import {addMemberships, revertMemberships} from './members.js';
import type {AppendRequest, Sender} from './messageTypes.js';
import {recordLeaderContact} from './timing.js';

/**
 * Follows the leader that sent a request. Returns false if the request is of
 * an earlier term.
 */
export function followLeader(
  draft: ConsensusDraft,
  from: Sender,
  request: {readonly term: number},
  now: TurnTime,
): boolean {
  if (request.term < draft.ballot.term) {
    return false;
  }
  const isFollowing =
    request.term === draft.ballot.term &&
    draft.role.kind === 'follower' &&
    draft.role.leader === from.node;
  if (!isFollowing) {
    becomeFollower(draft, request.term, from.node, now);
  }
  recordLeaderContact(draft, now);
  return true;
}

/** Appends the leader's entries if the logs match just before them. */
export function handleAppendRequest(
  draft: ConsensusDraft,
  from: Sender,
  request: AppendRequest,
  now: TurnTime,
): void {
  const isCurrent = followLeader(draft, from, request, now);
  if (!isCurrent || !isLogMatching(draft, request)) {
    refuseAppend(draft, from, request);
    return;
  }
  mergeEntries(draft, request.entries);
  const matchIndex = request.previousIndex + request.entries.length;
  const commitIndex = Math.min(request.commitIndex, matchIndex);
  if (commitIndex > draft.status.commitIndex) {
    draft.set('logStatus', {...draft.status, commitIndex});
  }
  const reply = {
    kind: 'appendReply',
    term: draft.ballot.term,
    success: true,
    sentAt: request.sentAt,
  } as const;
  const to = {node: from.node, storage: null};
  if (request.entries.length > 0) {
    draft.sendAfterSync(to, {...reply, matchIndex});
    return;
  }
  // A heartbeat acknowledges only entries that are synced already.
  const syncedIndex = Math.min(matchIndex, draft.status.syncedIndex);
  draft.sendAfterSync(to, {...reply, matchIndex: syncedIndex});
}

function refuseAppend(
  draft: ConsensusDraft,
  from: Sender,
  request: AppendRequest,
): void {
  draft.sendAfterSync(
    {node: from.node, storage: null},
    {
      kind: 'appendReply',
      term: draft.ballot.term,
      success: false,
      matchIndex: findMatchHint(draft, request),
      sentAt: request.sentAt,
    },
  );
}

/**
 * Finds the last index at which the logs may match. It skips the whole
 * conflicting term, so that the leader need not go back entry by entry.
 */
function findMatchHint(
  draft: ConsensusDraft,
  request: AppendRequest,
): LogIndex {
  const {lastIndex, commitIndex} = draft.status;
  if (request.previousIndex > lastIndex) {
    return lastIndex;
  }
  const conflicting = draft.log.readTerm(request.previousIndex);
  let index = request.previousIndex - 1;
  while (index > commitIndex && draft.log.readTerm(index) === conflicting) {
    index -= 1;
  }
  return Math.max(index, 0);
}

/**
 * Checks the log matching property just before the request's entries.
 * Committed entries are in the log of every later leader, so they match.
 */
function isLogMatching(draft: ConsensusDraft, request: AppendRequest): boolean {
  const {previousIndex, previousTerm} = request;
  return (
    previousIndex <= draft.status.commitIndex ||
    draft.log.readTerm(previousIndex) === previousTerm
  );
}

/** Removes entries that conflict with the leader's and appends new ones. */
function mergeEntries(
  draft: ConsensusDraft,
  entries: readonly LogEntry[],
): void {
  const {base} = draft.status;
  const start = entries.findIndex(
    entry =>
      entry.index > base.index &&
      draft.log.readEntry(entry.index)?.term !== entry.term,
  );
  if (start < 0) {
    return;
  }
  const added = entries.slice(start);
  const from = added[0]!.index;
  if (from <= draft.status.lastIndex) {
    draft.log.truncate(from);
    revertMemberships(draft, from);
  }
  draft.log.append(added);
  addMemberships(draft, added);
}
