import type {TurnTime} from '@gentianshunt/board';
import type {ConsensusMessage, Term} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ConsensusDraft} from './consensusDraft.js';
import {becomeLeader} from './replication.js';
import {armElection, MIN_ELECTION_TIMEOUT_MS, resetElection} from './timing.js';

type VoteRequest = Extract<ConsensusMessage, {readonly kind: 'voteRequest'}>;
type VoteReply = Extract<ConsensusMessage, {readonly kind: 'voteReply'}>;

/** Lists the other voting members. */
export function listPeers(draft: ConsensusDraft): readonly NodeId[] {
  const {members, node} = draft.view.board.identity;
  return members.filter(member => member !== node);
}

/** Counts the votes that decide. */
export function readQuorum(draft: ConsensusDraft): number {
  return Math.floor(draft.view.board.identity.members.length / 2) + 1;
}

/** Follows the given term; a higher term ends any other role. */
export function followTerm(
  draft: ConsensusDraft,
  term: Term,
  leader: NodeId | null,
  now: TurnTime,
): void {
  if (term > draft.ballot.term) {
    draft.setBallot({term, votedFor: null});
  }
  draft.setRole({kind: 'follower', leader});
  resetElection(draft, now);
  armElection(draft, now);
}

/** Acts on an election deadline that may have passed. */
export function handleElectionTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  if (draft.role.kind === 'leader') {
    return;
  }
  if (now.monotonic >= draft.election.deadline) {
    startPreVote(draft, now);
    return;
  }
  armElection(draft, now);
}

/** Asks whether an election could be won, without raising the term. */
function startPreVote(draft: ConsensusDraft, now: TurnTime): void {
  const self = draft.view.board.identity.node;
  draft.setRole({kind: 'preCandidate', votes: new Set([self])});
  resetElection(draft, now);
  armElection(draft, now);
  if (readQuorum(draft) === 1) {
    startElection(draft, now);
    return;
  }
  for (const peer of listPeers(draft)) {
    draft.send(peer, createVoteRequest(draft, true, draft.ballot.term + 1));
  }
}

function startElection(draft: ConsensusDraft, now: TurnTime): void {
  const self = draft.view.board.identity.node;
  const term = draft.ballot.term + 1;
  draft.setBallot({term, votedFor: self});
  draft.setRole({kind: 'candidate', votes: new Set([self])});
  resetElection(draft, now);
  armElection(draft, now);
  for (const peer of listPeers(draft)) {
    draft.sendAfterSync(peer, createVoteRequest(draft, false, term));
  }
  if (readQuorum(draft) === 1) {
    becomeLeader(draft, now);
  }
}

function createVoteRequest(
  draft: ConsensusDraft,
  preVote: boolean,
  term: Term,
): VoteRequest {
  const {lastIndex, lastTerm} = draft.status;
  return {kind: 'voteRequest', preVote, term, lastIndex, lastTerm};
}

/** Answers a request for a vote or a pre-vote. */
export function handleVoteRequest(
  draft: ConsensusDraft,
  from: NodeId,
  request: VoteRequest,
  now: TurnTime,
): void {
  if (request.preVote) {
    const granted =
      request.term > draft.ballot.term &&
      isUpToDate(draft, request) &&
      !hearsLeader(draft, now);
    draft.send(from, {
      kind: 'voteReply',
      preVote: true,
      term: granted ? request.term : draft.ballot.term,
      granted,
    });
    return;
  }
  if (request.term > draft.ballot.term) {
    followTerm(draft, request.term, null, now);
  }
  const {term, votedFor} = draft.ballot;
  const granted =
    request.term === term &&
    (votedFor === null || votedFor === from) &&
    isUpToDate(draft, request);
  if (granted && votedFor === null) {
    draft.setBallot({term, votedFor: from});
    resetElection(draft, now);
  }
  draft.sendAfterSync(from, {
    kind: 'voteReply',
    preVote: false,
    term,
    granted,
  });
}

function isUpToDate(draft: ConsensusDraft, request: VoteRequest): boolean {
  const {lastIndex, lastTerm} = draft.status;
  return (
    request.lastTerm > lastTerm ||
    (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  );
}

/** A member that hears its leader supports no election. */
function hearsLeader(draft: ConsensusDraft, now: TurnTime): boolean {
  const {role, election} = draft;
  if (role.kind === 'leader') {
    return true;
  }
  const heardWithin = election.deadline - now.monotonic;
  return (
    role.kind === 'follower' &&
    role.leader !== null &&
    heardWithin > 0 &&
    heardWithin <= 2 * MIN_ELECTION_TIMEOUT_MS
  );
}

/** Counts a vote. */
export function handleVoteReply(
  draft: ConsensusDraft,
  from: NodeId,
  reply: VoteReply,
  now: TurnTime,
): void {
  if (!reply.granted) {
    if (reply.term > draft.ballot.term) {
      followTerm(draft, reply.term, null, now);
    }
    return;
  }
  const {role} = draft;
  if (reply.preVote) {
    if (role.kind === 'preCandidate' && reply.term === draft.ballot.term + 1) {
      const votes = new Set([...role.votes, from]);
      draft.setRole({kind: 'preCandidate', votes});
      if (votes.size >= readQuorum(draft)) {
        startElection(draft, now);
      }
    }
    return;
  }
  if (role.kind === 'candidate' && reply.term === draft.ballot.term) {
    const votes = new Set([...role.votes, from]);
    draft.setRole({kind: 'candidate', votes});
    if (votes.size >= readQuorum(draft)) {
      becomeLeader(draft, now);
    }
  }
}
