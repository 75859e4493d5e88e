import {createManualClock} from '@gentianshunt/clock';
import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import BTreeModule from 'sorted-btree';

// The package is CommonJS; its class is the `default` of what it exports.
const BTree = BTreeModule.default;

/** Undoes the scheduling of a task. */
export type CancelTask = () => void;

/** Time that moves only when told to, with the tasks that fall due. */
export interface VirtualTime {
  readonly clock: Clock;
  schedule(delayMs: Milliseconds, task: () => void): CancelTask;
  /** Moves the clock and runs each task at the instant it is due. */
  advance(durationMs: Milliseconds): void;
}

type TaskKey = readonly [dueAt: MonotonicTime, order: number];

/** Creates a time that stands at zero. */
export function createVirtualTime(): VirtualTime {
  const clock = createManualClock();
  const tasks = new BTree<TaskKey, () => void>(
    undefined,
    (left, right) => left[0] - right[0] || left[1] - right[1],
  );
  let scheduled = 0;
  const advanceTo = (instant: MonotonicTime): void =>
    clock.advance(Math.max(0, instant - clock.readMonotonic()));
  return {
    clock,
    schedule: (delayMs, task) => {
      const key: TaskKey = [clock.readMonotonic() + delayMs, scheduled];
      scheduled += 1;
      tasks.set(key, task);
      return () => tasks.delete(key);
    },
    advance: durationMs => {
      const until = clock.readMonotonic() + durationMs;
      for (;;) {
        const key = tasks.minKey();
        if (key === undefined || key[0] > until) {
          break;
        }
        const task = tasks.get(key)!;
        tasks.delete(key);
        advanceTo(key[0]);
        task();
      }
      advanceTo(until);
    },
  };
}
