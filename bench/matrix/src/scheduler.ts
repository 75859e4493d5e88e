import {createManualClock} from '@gentianshunt/clock';
import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Runs actions in virtual time, on a clock that it advances itself. */
export interface Scheduler {
  readonly clock: Clock;
  /** Schedules an action; actions of one instant run in insertion order. */
  schedule(delayMs: Milliseconds, action: () => void): void;
  /** Runs the actions due up to a time, and advances the clock to it. */
  runUntil(time: MonotonicTime): void;
}

interface ScheduledAction {
  readonly at: MonotonicTime;
  readonly action: () => void;
}

/** Creates a scheduler without actions, with its clock at zero. */
export function createScheduler(): Scheduler {
  const clock = createManualClock();
  const scheduled: ScheduledAction[] = [];
  return {
    clock,
    schedule: (delayMs, action) => {
      const at = clock.readMonotonic() + delayMs;
      scheduled.splice(findInsertIndex(scheduled, at), 0, {at, action});
    },
    runUntil: time => {
      for (;;) {
        const next = scheduled.at(-1);
        if (next === undefined || next.at > time) {
          break;
        }
        scheduled.pop();
        clock.advance(Math.max(0, next.at - clock.readMonotonic()));
        next.action();
      }
      clock.advance(Math.max(0, time - clock.readMonotonic()));
    },
  };
}

/**
 * Finds where to insert an action. The actions are sorted latest first, so that
 * the next one is removed from the end of the array in constant time.
 */
function findInsertIndex(
  scheduled: readonly ScheduledAction[],
  at: number,
): number {
  let low = 0;
  let high = scheduled.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (scheduled[middle]!.at > at) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
