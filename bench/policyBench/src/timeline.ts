import {createManualClock} from '@gentianshunt/clock';
import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import TinyQueue from 'tinyqueue';

/** A virtual clock and the actions that are scheduled on it. */
export interface Timeline {
  readonly clock: Clock;
  /** Runs an action after a delay. */
  schedule(delayMs: Milliseconds, action: () => void): void;
  /**
   * Runs the actions that are due up to `end`, in the order of their times,
   * and moves the clock to the time of each.
   */
  runUntil(end: MonotonicTime): void;
}

interface ScheduledAction {
  readonly at: MonotonicTime;
  /** Actions due at the same time run in the order of scheduling. */
  readonly sequence: number;
  readonly action: () => void;
}

/** Creates a timeline that starts at zero. */
export function createTimeline(): Timeline {
  const clock = createManualClock();
  const queue = new TinyQueue<ScheduledAction>([], compareScheduled);
  let sequence = 0;
  return {
    clock,
    schedule: (delayMs, action) => {
      sequence += 1;
      queue.push({
        at: clock.readMonotonic() + delayMs,
        sequence,
        action,
      });
    },
    runUntil: end => {
      for (;;) {
        const next = queue.peek();
        if (next === undefined || next.at > end) {
          return;
        }
        queue.pop();
        clock.advance(Math.max(0, next.at - clock.readMonotonic()));
        next.action();
      }
    },
  };
}

function compareScheduled(
  left: ScheduledAction,
  right: ScheduledAction,
): number {
  return left.at - right.at || left.sequence - right.sequence;
}
