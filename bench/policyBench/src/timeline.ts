import {createManualClock} from '@gentianshunt/clock';
import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import TinyQueue from 'tinyqueue';

/** Runs actions in the order of virtual time. */
export interface Timeline {
  readonly clock: Clock;
  /** Runs an action after a delay. */
  schedule(delayMs: Milliseconds, action: () => void): void;
  /** Runs everything due up to an instant. */
  runUntil(end: MonotonicTime): void;
}

interface ScheduledAction {
  readonly at: MonotonicTime;
  /** Keeps actions of one instant in the order of their planning. */
  readonly order: number;
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
        order: sequence,
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
  return left.at - right.at || left.order - right.order;
}
