import {createManualClock} from '@gentianshunt/clock';
import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Runs actions at instants of a clock that it moves itself. */
export interface Schedule {
  readonly clock: Clock;
  /** Plans an action; those of one instant run in the order of planning. */
  plan(delayMs: Milliseconds, action: () => void): void;
  runUntil(time: MonotonicTime): void;
}

interface PlannedAction {
  readonly at: MonotonicTime;
  readonly action: () => void;
}

/** Creates an empty schedule at instant zero. */
export function createSchedule(): Schedule {
  const clock = createManualClock();
  const planned: PlannedAction[] = [];
  return {
    clock,
    plan: (delayMs, action) => {
      const at = clock.readMonotonic() + delayMs;
      planned.splice(findPlace(planned, at), 0, {at, action});
    },
    runUntil: time => {
      for (;;) {
        const next = planned.at(-1);
        if (next === undefined || next.at > time) {
          break;
        }
        planned.pop();
        clock.advance(Math.max(0, next.at - clock.readMonotonic()));
        next.action();
      }
      clock.advance(Math.max(0, time - clock.readMonotonic()));
    },
  };
}

/** The latest action stands first, so that the next one is taken cheaply. */
function findPlace(planned: readonly PlannedAction[], at: number): number {
  let low = 0;
  let high = planned.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (planned[middle]!.at > at) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
