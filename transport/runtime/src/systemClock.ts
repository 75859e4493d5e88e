import type {Clock} from '@gentianshunt/clock';

/** Creates a clock that reads the system time. */
export function createSystemClock(): Clock {
  return {
    readWallTime: () => new Date(),
    readMonotonic: () => performance.now(),
  };
}
