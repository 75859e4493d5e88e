import type {TurnTime} from '@gentianshunt/board';
import type {Term} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import {becomeLeader} from './leadership.js';
import {isFormed, isVoter, listVoters, readQuorum} from './members.js';
import type {Sender, VoteReply, VoteRequest} from './messageTypes.js';
import {replyHello} from './startup.js';
import {followTerm} from './terms.js';
import {
  armElection,
  LEADER_TRUST_MS,
  waitForLeader,
  waitForVotes,
} from './timing.js';

/** Acts on an election deadline that may have passed. */
export function handleElectionTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  if (draft.role.kind === 'leader') {
    return;
  }
  if (now.monotonic < draft.election.deadline) {
    armElection(draft, now);
    return;
  }
  if (canStand(draft)) {
    startPreVote(draft, now);
    return;
  }
  waitForLeader(draft, now);
  armElection(draft, now);
}

function canStand(draft: ConsensusDraft): boolean {
  const {storage} = draft.view.board.identity;
  return draft.read('startCheck').kind === 'ready' && isVoter(draft, storage);
}

/** Asks whether an election could be won, without raising the term. */
function startPreVote(draft: ConsensusDraft, now: TurnTime): void {
  const self = draft.view.board.identity.node;
  draft.set('role', {kind: 'preCandidate', votes: new Set([self])});
  waitForVotes(draft, now);
  if (readQuorum(draft) === 1) {
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
  waitForVotes(draft, now);
  if (readQuorum(draft) === 1) {
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
      // The candidate's own vote must be on disk before others add to it.
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
  if (!isFormed(draft)) {
    return;
  }
  if (draft.role.kind === 'leader' && !isVoter(draft, from.storage)) {
    // A member that was cut off while it lost its place learns of it here.
    replyHello(draft, from, now);
  }
  if (request.preVote || isLeaderHeard(draft, now)) {
    answerPreVote(draft, from, request, now);
    return;
  }
  if (request.term > draft.ballot.term) {
    followTerm(draft, request.term, null, now);
  }
  const {term, votedFor} = draft.ballot;
  const granted =
    request.term === term &&
    (votedFor === null || votedFor === from.node) &&
    isUpToDate(draft, request);
  if (granted && votedFor === null) {
    draft.set('ballot', {term, votedFor: from.node});
    waitForLeader(draft, now);
  }
  draft.sendAfterSync(
    {node: from.node, storage: null},
    {kind: 'voteReply', preVote: false, term, granted},
  );
}

/** Nothing is promised, and nothing stored. */
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
    !isLeaderHeard(draft, now);
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

function isUpToDate(draft: ConsensusDraft, request: VoteRequest): boolean {
  const {lastIndex, lastTerm} = draft.status;
  return (
    request.lastTerm > lastTerm ||
    (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  );
}

/**
 * A member that heard its leader within the shortest election timeout
 * supports no election; the leader lease rests on it. A member that has just
 * started may have heard one before.
 */
function isLeaderHeard(draft: ConsensusDraft, now: TurnTime): boolean {
  if (draft.role.kind === 'leader') {
    return true;
  }
  return now.monotonic - draft.election.heardAt < LEADER_TRUST_MS;
}

/** Counts a vote of a voter. */
export function handleVoteReply(
  draft: ConsensusDraft,
  from: Sender,
  reply: VoteReply,
  now: TurnTime,
): void {
  if (!reply.granted) {
    if (reply.term > draft.ballot.term) {
      followTerm(draft, reply.term, null, now);
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
      if (votes.size >= readQuorum(draft)) {
        startElection(draft, now);
      }
    }
    return;
  }
  if (role.kind === 'candidate' && reply.term === draft.ballot.term) {
    const votes = new Set([...role.votes, from.node]);
    draft.set('role', {kind: 'candidate', votes});
    if (votes.size >= readQuorum(draft)) {
      becomeLeader(draft, now);
    }
  }
}
