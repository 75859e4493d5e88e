import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** A clock of a VM: its monotonic time stands still while it is suspended. */
export interface StoppableClock extends Clock {
  stop(): void;
  resume(): void;
}

/** Creates a clock that runs with another one except while it is stopped. */
export function createStoppableClock(clock: Clock): StoppableClock {
  let stoppedMs: Milliseconds = 0;
  let stoppedAt: MonotonicTime | undefined;
  return {
    readWallTime: clock.readWallTime,
    readMonotonic: () => (stoppedAt ?? clock.readMonotonic()) - stoppedMs,
    stop: () => {
      stoppedAt ??= clock.readMonotonic();
    },
    resume: () => {
      if (stoppedAt !== undefined) {
        stoppedMs += clock.readMonotonic() - stoppedAt;
        stoppedAt = undefined;
      }
    },
  };
}
