import type {Clock, Milliseconds} from './clock.js';

/** A clock that moves only when told to. */
export interface ManualClock extends Clock {
  /** Moves the clock forward by a duration in milliseconds. */
  advance(duration: Milliseconds): void;
}

/** What a manual clock starts from. */
export interface ManualClockOptions {
  readonly wallTime?: Date;
}

const DEFAULT_WALL_TIME = new Date('2026-01-01T00:00:00Z');

/** Creates a clock that starts at monotonic zero and stands still. */
export function createManualClock(
  options: ManualClockOptions = {},
): ManualClock {
  const origin = (options.wallTime ?? DEFAULT_WALL_TIME).getTime();
  let elapsedMs = 0;
  return {
    readWallTime: () => new Date(origin + elapsedMs),
    readMonotonic: () => elapsedMs,
    advance: duration => {
      elapsedMs += duration;
    },
  };
}
