import {createManualClock} from '@gentianshunt/clock';
import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import BTreeModule from 'sorted-btree';

// The package is CommonJS; its class is the `default` member of the exports.
const BTree = BTreeModule.default;

/** Cancels a scheduled task; does nothing after the task has run. */
export type CancelTask = () => void;

/** A clock that only `advance` moves, and the tasks scheduled on it. */
export interface VirtualTime {
  readonly clock: Clock;
  schedule(delayMs: Milliseconds, task: () => void): CancelTask;
  /** Moves the clock forward and runs each task when it is due. */
  advance(durationMs: Milliseconds): void;
}

/** Sorts tasks by time, and those due at the same time by scheduling order. */
type TaskKey = readonly [dueAt: MonotonicTime, sequence: number];

/** Creates virtual time that starts at zero. */
export function createVirtualTime(): VirtualTime {
  const clock = createManualClock();
  const tasks = new BTree<TaskKey, () => void>(
    undefined,
    (left, right) => left[0] - right[0] || left[1] - right[1],
  );
  let nextSequence = 0;
  const advanceTo = (instant: MonotonicTime): void =>
    clock.advance(Math.max(0, instant - clock.readMonotonic()));
  return {
    clock,
    schedule: (delayMs, task) => {
      const key: TaskKey = [clock.readMonotonic() + delayMs, nextSequence];
      nextSequence += 1;
      tasks.set(key, task);
      return () => tasks.delete(key);
    },
    advance: durationMs => {
      const end = clock.readMonotonic() + durationMs;
      for (;;) {
        const key = tasks.minKey();
        if (key === undefined || key[0] > end) {
          break;
        }
        const task = tasks.get(key)!;
        tasks.delete(key);
        advanceTo(key[0]);
        task();
      }
      advanceTo(end);
    },
  };
}
