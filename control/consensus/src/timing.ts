import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {ControlTimer} from '@gentianshunt/controlModel';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {ConsensusDraft} from './consensusDraft.js';

/** Time between two requests of a leader to an idle follower. */
export const LEADER_HEARTBEAT_MS: Milliseconds = 350;
/** Time after hearing a leader in which a member supports no other. */
export const LEADER_TRUST_MS: Milliseconds = 800;
/** Shortest time without a leader before a member stands for election. */
export const MIN_ELECTION_TIMEOUT_MS: Milliseconds = 850;
/** Longest time without a leader before a member stands for election. */
export const MAX_ELECTION_TIMEOUT_MS: Milliseconds = 1_100;
/** Shortest wait of a candidate before it tries again. */
export const MIN_CANDIDATE_TIMEOUT_MS: Milliseconds = 150;
/** Longest wait of a candidate before it tries again. */
export const MAX_CANDIDATE_TIMEOUT_MS: Milliseconds = 400;
/** A leader that has not reached a quorum for this long steps down. */
export const QUORUM_TIMEOUT_MS: Milliseconds = LEADER_TRUST_MS;
/** Leader lease; shorter than the members' trust to allow for drift. */
export const LEADER_LEASE_MS: Milliseconds = 0.8 * LEADER_TRUST_MS;
/** Time without an answer after which entries are sent again. */
export const RETRANSMIT_MS: Milliseconds = 500;
/** Time between two hellos of a member that is not ready. */
export const HELLO_INTERVAL_MS: Milliseconds = 200;
/**
 * Wait for the members that do not answer the hello. It is shorter than the
 * quorum timeout, so that a leader which needs this member keeps the lead.
 */
export const START_CHECK_MS: Milliseconds = 400;

/** Starts the election timeout anew after hearing a leader. */
export function resetElection(draft: ConsensusDraft, now: TurnTime): void {
  const {election} = draft;
  draft.set('election', {...election, heardAt: now.monotonic});
  waitForLeader(draft, now);
}

/** Gives a leader a full election timeout to show itself. */
export function waitForLeader(draft: ConsensusDraft, now: TurnTime): void {
  setDeadline(draft, now, MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS);
}

/** Gives the votes asked for a short time to arrive. */
export function waitForVotes(draft: ConsensusDraft, now: TurnTime): void {
  setDeadline(draft, now, MIN_CANDIDATE_TIMEOUT_MS, MAX_CANDIDATE_TIMEOUT_MS);
  armElection(draft, now);
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
  draft.set('election', {...draft.election, deadline, attempts});
}

/** Seeds that differ little give unlike results (32-bit avalanche). */
function mixSeed(seed: number, attempts: number): number {
  let mixed = Math.imul(seed, 0x9e3779b1) ^ Math.imul(attempts, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x7feb352d);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x846ca68b);
  return mixed ^ (mixed >>> 16);
}

/** Sets the timer that looks at the election deadline. */
export function armElection(draft: ConsensusDraft, now: TurnTime): void {
  const delayMs = Math.max(1, draft.election.deadline - now.monotonic);
  armTimer(draft, 'election', delayMs);
}

/** Sets one of the timers of the log. */
export function armTimer(
  draft: ConsensusDraft,
  kind: ControlTimer['kind'],
  delayMs: Milliseconds,
): void {
  draft.order({kind: 'setTimer', timer: {kind}, delayMs});
}
