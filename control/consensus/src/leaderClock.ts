import type {TurnTime} from '@gentianshunt/board';
import type {Instant, Milliseconds, MonotonicTime} from '@gentianshunt/clock';

import type {ConsensusDraft} from './consensusDraft.js';

/**
 * Most by which the time of day may advance ahead of the monotonic clock before
 * the VM counts as suspended meanwhile.
 */
const MAX_CLOCK_GAP_MS: Milliseconds = 50;

/**
 * Follows the offset between the clocks of a leader. The monotonic clock of a
 * suspended VM stands still, so the offset grows by the time of a suspension;
 * requests that were sent before it are no evidence for the leader lease. A time
 * of day that is set forward looks the same and costs one round of heartbeats.
 */
export function followLeaderClock(draft: ConsensusDraft, now: TurnTime): void {
  const {offsetMs, steadySince} = draft.read('leaderClock');
  const currentMs = measureOffset(now);
  if (currentMs - offsetMs > MAX_CLOCK_GAP_MS) {
    // Requests carry whole milliseconds; those of this one may be earlier.
    const nextMs = Math.floor(now.monotonic) + 1;
    draft.set('leaderClock', {offsetMs: currentMs, steadySince: nextMs});
  } else if (currentMs < offsetMs) {
    draft.set('leaderClock', {offsetMs: currentMs, steadySince});
  }
}

/** Starts to follow the offset between the clocks of a new leader. */
export function startLeaderClock(draft: ConsensusDraft, now: TurnTime): void {
  draft.set('leaderClock', {
    offsetMs: measureOffset(now),
    steadySince: Math.floor(now.monotonic),
  });
}

function measureOffset({monotonic, wall}: TurnTime): Milliseconds {
  return wall.getTime() - monotonic;
}

/**
 * Converts a time since which the VM was not suspended to an instant by both
 * clocks; returns `undefined` for an earlier one.
 */
export function toSteadyInstant(
  draft: ConsensusDraft,
  monotonic: MonotonicTime,
): Instant | undefined {
  const {offsetMs, steadySince} = draft.read('leaderClock');
  return monotonic < steadySince
    ? undefined
    : {monotonic, wall: new Date(monotonic + offsetMs)};
}
