import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {ConsensusDraft} from './consensusDraft.js';

/** Time between two requests of a leader to an idle follower. */
export const LEADER_HEARTBEAT_MS: Milliseconds = 250;
/** Shortest time without a leader before a member stands for election. */
export const MIN_ELECTION_TIMEOUT_MS: Milliseconds = 800;
/** Longest time without a leader before a member stands for election. */
export const MAX_ELECTION_TIMEOUT_MS: Milliseconds = 1_200;
/** A leader that has not reached a quorum for this long steps down. */
export const QUORUM_TIMEOUT_MS: Milliseconds = MIN_ELECTION_TIMEOUT_MS;

/** Starts the election timeout anew, with jitter from the member's seed. */
export function resetElection(draft: ConsensusDraft, now: TurnTime): void {
  const attempts = draft.election.attempts + 1;
  const timeoutMs = drawElectionTimeout(
    draft.view.board.identity.seed,
    attempts,
  );
  draft.setElection({deadline: now.monotonic + timeoutMs, attempts});
}

function drawElectionTimeout(seed: number, attempts: number): Milliseconds {
  const generator = xoroshiro128plus(seed + attempts);
  return uniformInt(
    generator,
    MIN_ELECTION_TIMEOUT_MS,
    MAX_ELECTION_TIMEOUT_MS,
  );
}

/** Sets the timer that looks at the election deadline. */
export function armElection(draft: ConsensusDraft, now: TurnTime): void {
  draft.order({
    kind: 'setTimer',
    timer: {kind: 'election'},
    delayMs: Math.max(1, draft.election.deadline - now.monotonic),
  });
}

/** Sets the timer of the leader's heartbeat. */
export function armHeartbeat(draft: ConsensusDraft): void {
  draft.order({
    kind: 'setTimer',
    timer: {kind: 'heartbeat'},
    delayMs: LEADER_HEARTBEAT_MS,
  });
}
