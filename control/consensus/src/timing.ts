import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {ControlTimer, LeaderContact} from '@gentianshunt/controlModel';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {ConsensusDraft} from './consensusDraft.js';

/** Time between two heartbeats of a leader. */
export const LEADER_HEARTBEAT_MS: Milliseconds = 350;
/** For this long after contact with a leader, a member grants no vote. */
export const LEADER_STICKINESS_MS: Milliseconds = 800;
/** Minimum time without a leader before a member starts an election. */
export const MIN_ELECTION_TIMEOUT_MS: Milliseconds = 850;
/** Maximum time without a leader before a member starts an election. */
export const MAX_ELECTION_TIMEOUT_MS: Milliseconds = 1_100;
/** Maximum time to the election of a group whose voters all start. */
export const MAX_FIRST_ELECTION_MS: Milliseconds = 150;
/** Minimum time that a candidate waits for votes before it tries again. */
export const MIN_CANDIDATE_TIMEOUT_MS: Milliseconds = 150;
/** Maximum time that a candidate waits for votes before it tries again. */
export const MAX_CANDIDATE_TIMEOUT_MS: Milliseconds = 400;
/** Elections in a row that may fail before the wait for votes is extended. */
const USUAL_FAILED_ELECTIONS = 2;
/** How often the wait for votes is doubled at most. */
const MAX_VOTE_DOUBLINGS = 3;
/** A leader waits at least this long for a quorum before it steps down. */
export const QUORUM_TIMEOUT_MS: Milliseconds = LEADER_STICKINESS_MS;
/** The same in round trips to the quorum. */
export const QUORUM_ROUND_TRIPS = 2;
/** A leader waits at most this long for a quorum. */
export const MAX_QUORUM_TIMEOUT_MS: Milliseconds = 3_000;
/** A leader that no quorum has answered yet waits this long. */
export const FIRST_QUORUM_TIMEOUT_MS: Milliseconds = 2_000;
/**
 * Length of the leader lease. It is shorter than the time in which members
 * grant no vote, to allow for clock drift.
 */
export const LEADER_LEASE_MS: Milliseconds = 0.8 * LEADER_STICKINESS_MS;
/** Time without progress after which entries or a chunk are resent. */
export const RETRANSMIT_MS: Milliseconds = 500;
/** Rate of a slow link, by which a resend of many bytes is delayed. */
export const SLOW_LINK_BYTES_PER_MS = 1_000;
/** Time between two hellos of a member whose start check is not over. */
export const HELLO_INTERVAL_MS: Milliseconds = 200;
/**
 * After this time, the answers of a quorum end the start check. It is shorter
 * than the quorum timeout, so that a leader that needs this member for its
 * quorum does not step down meanwhile.
 */
export const START_CHECK_TIMEOUT_MS: Milliseconds = 400;

/** Records contact with a leader and restarts the election timeout. */
export function recordLeaderContact(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  setLeaderContact(draft, {kind: 'contacted', at: now.monotonic});
  clearFailedElections(draft);
  resetElectionDeadline(draft, now);
}

/** Sets why this member may support a leader. */
export function setLeaderContact(
  draft: ConsensusDraft,
  leaderContact: LeaderContact,
): void {
  draft.set('electionTimer', {...draft.election, leaderContact});
}

/** Lets the first election begin soon, at a time of its own at each member. */
export function scheduleFirstElection(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  setDeadline(draft, now, 0, MAX_FIRST_ELECTION_MS);
  scheduleElectionTimer(draft, now);
}

/** Sets the election deadline to a full election timeout from now. */
export function resetElectionDeadline(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  setDeadline(draft, now, MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS);
}

/** Sets the election deadline to the end of the wait for votes. */
export function scheduleVoteTimeout(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  const factor = computeVoteFactor(draft);
  setDeadline(
    draft,
    now,
    factor * MIN_CANDIDATE_TIMEOUT_MS,
    factor * MAX_CANDIDATE_TIMEOUT_MS,
  );
  scheduleElectionTimer(draft, now);
}

/** Counts an election that this member starts and has not won yet. */
export function recordElection(draft: ConsensusDraft): void {
  const {election} = draft;
  const failedElections = election.failedElections + 1;
  draft.set('electionTimer', {...election, failedElections});
}

/** Forgets the elections that nobody won, as there is a leader. */
export function clearFailedElections(draft: ConsensusDraft): void {
  draft.set('electionTimer', {...draft.election, failedElections: 0});
}

/**
 * Computes by how much the wait for votes is extended: after elections that
 * nobody won, votes may be on their way for longer than the usual wait.
 */
function computeVoteFactor({election}: ConsensusDraft): number {
  const doublings = election.failedElections - USUAL_FAILED_ELECTIONS;
  return 2 ** Math.min(MAX_VOTE_DOUBLINGS, Math.max(0, doublings));
}

function setDeadline(
  draft: ConsensusDraft,
  now: TurnTime,
  shortest: Milliseconds,
  longest: Milliseconds,
): void {
  const attempts = draft.election.attempts + 1;
  const {seed} = draft.view.board.identity;
  const generator = xoroshiro128plus(mixSeed(seed, attempts));
  const timeoutMs = uniformInt(generator, shortest, longest);
  const deadline = now.monotonic + timeoutMs;
  draft.set('electionTimer', {...draft.election, deadline, attempts});
}

/**
 * Mixes the seed with the number of attempts by a 32-bit avalanche, so that
 * similar seeds give unrelated jitter.
 */
function mixSeed(seed: number, attempts: number): number {
  let mixed = Math.imul(seed, 0x9e3779b1) ^ Math.imul(attempts, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x7feb352d);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x846ca68b);
  return mixed ^ (mixed >>> 16);
}

/** Sets the election timer to the election deadline. */
export function scheduleElectionTimer(
  draft: ConsensusDraft,
  now: TurnTime,
): void {
  const delayMs = Math.max(1, draft.election.deadline - now.monotonic);
  scheduleTimer(draft, 'election', delayMs);
}

/** Sets a timer; an earlier setting of the same kind is replaced. */
export function scheduleTimer(
  draft: ConsensusDraft,
  kind: ControlTimer['kind'],
  delayMs: Milliseconds,
): void {
  draft.addEffect({kind: 'setTimer', timer: {kind}, delayMs});
}
