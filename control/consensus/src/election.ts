import type {TurnTime} from '@gentianshunt/board';
import {assertNever} from '@gentianshunt/errors';
import type {Term} from '@gentianshunt/messages';

import {becomeFollower} from './becomeFollower.js';
import type {ConsensusDraft} from './consensusDraft.js';
import {replyHello} from './helloAnswer.js';
import {becomeLeader} from './leadership.js';
import {computeQuorum, isInGroup, isVoter, listVoters} from './members.js';
import type {Sender, VoteReply, VoteRequest} from './messageTypes.js';
import {broadcastHello} from './startCheck.js';
import {
  LEADER_STICKINESS_MS,
  recordElection,
  resetElectionDeadline,
  scheduleElectionTimer,
  scheduleVoteTimeout,
} from './timing.js';

/** Starts a pre-vote if the election deadline has passed. */
export function handleElectionTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  if (draft.role.kind === 'leader') {
    return;
  }
  if (now.monotonic < draft.election.deadline) {
    scheduleElectionTimer(draft, now);
    return;
  }
  if (canStartElection(draft)) {
    startPreVote(draft, now);
    return;
  }
  if (draft.read('startCheck').kind === 'ready') {
    // A learner that no leader contacts may have been removed.
    broadcastHello(draft);
  }
  resetElectionDeadline(draft, now);
  scheduleElectionTimer(draft, now);
}

function canStartElection(draft: ConsensusDraft): boolean {
  const {storage} = draft.view.board.identity;
  return draft.read('startCheck').kind === 'ready' && isVoter(draft, storage);
}

/**
 * Asks the voters whether they would vote for this member. The pre-vote does
 * not raise the term, so a member that cannot win disturbs no leader.
 */
function startPreVote(draft: ConsensusDraft, now: TurnTime): void {
  const self = draft.view.board.identity.node;
  draft.set('role', {kind: 'preCandidate', votes: new Set([self])});
  recordElection(draft);
  scheduleVoteTimeout(draft, now);
  if (computeQuorum(draft) === 1) {
    startElection(draft, now);
    return;
  }
  requestVotes(draft, true, draft.ballot.term + 1);
}

function startElection(draft: ConsensusDraft, now: TurnTime): void {
  const self = draft.view.board.identity.node;
  const term = draft.ballot.term + 1;
  draft.set('ballot', {term, votedFor: self});
  draft.set('role', {kind: 'candidate', votes: new Set([self])});
  scheduleVoteTimeout(draft, now);
  if (computeQuorum(draft) === 1) {
    becomeLeader(draft, now);
    return;
  }
  requestVotes(draft, false, term);
}

function requestVotes(
  draft: ConsensusDraft,
  preVote: boolean,
  term: Term,
): void {
  const {lastIndex, lastTerm} = draft.status;
  const request: VoteRequest = {
    kind: 'voteRequest',
    preVote,
    term,
    lastIndex,
    lastTerm,
  };
  const {storage: self} = draft.view.board.identity;
  for (const {node, storage} of listVoters(draft)) {
    if (storage !== self) {
      // The candidate's own vote must be on disk before it asks for others.
      draft.sendAfterSync({node, storage}, request);
    }
  }
}

/** Answers a request for a vote or a pre-vote. */
export function handleVoteRequest(
  draft: ConsensusDraft,
  from: Sender,
  request: VoteRequest,
  now: TurnTime,
): void {
  if (!isInGroup(draft)) {
    return;
  }
  if (draft.role.kind === 'leader' && !isVoter(draft, from.storage)) {
    // The sender may have been removed while it was partitioned from the
    // group; this reply reports it.
    replyHello(draft, from, {formed: true, start: null}, now);
  }
  if (request.preVote || hasRecentLeaderContact(draft, now)) {
    answerPreVote(draft, from, request, now);
    return;
  }
  if (request.term > draft.ballot.term) {
    becomeFollower(draft, request.term, null, now);
  }
  const {term, votedFor} = draft.ballot;
  const granted =
    request.term === term &&
    (votedFor === null || votedFor === from.node) &&
    isUpToDate(draft, request);
  if (granted && votedFor === null) {
    draft.set('ballot', {term, votedFor: from.node});
    resetElectionDeadline(draft, now);
  }
  draft.sendAfterSync(
    {node: from.node, storage: null},
    {kind: 'voteReply', preVote: false, term, granted},
  );
}

/** Answers without a binding vote, so nothing is stored. */
function answerPreVote(
  draft: ConsensusDraft,
  from: Sender,
  request: VoteRequest,
  now: TurnTime,
): void {
  const granted =
    request.preVote &&
    request.term > draft.ballot.term &&
    isUpToDate(draft, request) &&
    !hasRecentLeaderContact(draft, now) &&
    !isPreferredCandidate(draft, from, request);
  draft.send(
    {node: from.node, storage: null},
    {
      kind: 'voteReply',
      preVote: request.preVote,
      term: granted ? request.term : draft.ballot.term,
      granted,
    },
  );
}

/**
 * Returns whether this member is a candidate as well, and the one of the two
 * that shall win. Members that run at the same moments, as on a VM that stands
 * still in turns, would otherwise vote for themselves in each term.
 */
function isPreferredCandidate(
  draft: ConsensusDraft,
  from: Sender,
  request: VoteRequest,
): boolean {
  const {lastIndex, lastTerm} = draft.status;
  const isCandidate =
    draft.role.kind === 'preCandidate' || draft.role.kind === 'candidate';
  return (
    isCandidate &&
    request.lastTerm === lastTerm &&
    request.lastIndex === lastIndex &&
    draft.view.board.identity.node < from.node
  );
}

/** Returns whether the candidate's log is as up to date as this member's. */
function isUpToDate(draft: ConsensusDraft, request: VoteRequest): boolean {
  const {lastIndex, lastTerm} = draft.status;
  return (
    request.lastTerm > lastTerm ||
    (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  );
}

/**
 * Returns whether the member has a leader that it must not vote against. The
 * leader lease depends on this rule. A start counts as contact as well, unless
 * the voters have answered that no leader can hold a lease.
 */
function hasRecentLeaderContact(draft: ConsensusDraft, now: TurnTime): boolean {
  const {leaderContact} = draft.election;
  if (draft.role.kind === 'leader') {
    return true;
  }
  switch (leaderContact.kind) {
    case 'none':
      return false;
    case 'started':
    case 'contacted':
      return now.monotonic - leaderContact.at < LEADER_STICKINESS_MS;
    default:
      return assertNever(leaderContact, 'hasRecentLeaderContact');
  }
}

/** Counts a granted vote or pre-vote; a quorum of them starts the next step. */
export function handleVoteReply(
  draft: ConsensusDraft,
  from: Sender,
  reply: VoteReply,
  now: TurnTime,
): void {
  if (!reply.granted) {
    if (reply.term > draft.ballot.term) {
      becomeFollower(draft, reply.term, null, now);
    }
    return;
  }
  if (!isVoter(draft, from.storage)) {
    return;
  }
  const {role} = draft;
  if (reply.preVote) {
    if (role.kind === 'preCandidate' && reply.term === draft.ballot.term + 1) {
      const votes = new Set([...role.votes, from.node]);
      draft.set('role', {kind: 'preCandidate', votes});
      if (votes.size >= computeQuorum(draft)) {
        startElection(draft, now);
      }
    }
    return;
  }
  if (role.kind === 'candidate' && reply.term === draft.ballot.term) {
    const votes = new Set([...role.votes, from.node]);
    draft.set('role', {kind: 'candidate', votes});
    if (votes.size >= computeQuorum(draft)) {
      becomeLeader(draft, now);
    }
  }
}
