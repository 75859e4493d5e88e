import type {Clock, Milliseconds} from './clock.js';

/** A clock that advances only through calls of `advance`. */
export interface ManualClock extends Clock {
  /** Advances both clocks by a duration. */
  advance(duration: Milliseconds): void;
  /** Advances the time of day only, as on a VM that is suspended meanwhile. */
  suspend(duration: Milliseconds): void;
}

/** The initial time of a manual clock. */
export interface ManualClockOptions {
  readonly wallTime?: Date;
}

const DEFAULT_WALL_TIME = new Date('2026-01-01T00:00:00Z');

/** Creates a clock whose monotonic time starts at zero. */
export function createManualClock(
  options: ManualClockOptions = {},
): ManualClock {
  const origin = (options.wallTime ?? DEFAULT_WALL_TIME).getTime();
  let elapsedMs = 0;
  let suspendedMs = 0;
  return {
    readWallTime: () => new Date(origin + elapsedMs + suspendedMs),
    readMonotonic: () => elapsedMs,
    advance: duration => {
      elapsedMs += duration;
    },
    suspend: duration => {
      suspendedMs += duration;
    },
  };
}
