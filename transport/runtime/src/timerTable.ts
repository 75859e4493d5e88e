import type {Milliseconds} from '@gentianshunt/clock';

import {startTimer} from './startTimer.js';

/** At most one pending timer per kind; setting a kind again replaces it. */
export interface TimerTable<Timer extends {readonly kind: string}> {
  set(timer: Timer, delayMs: Milliseconds): void;
  clear(): void;
}

/** Options of a timer table. */
export interface TimerTableOptions<Timer> {
  readonly onDue: (timer: Timer) => void;
}

/** Creates a timer table that uses the timers of Node.js. */
export function createTimerTable<Timer extends {readonly kind: string}>(
  options: TimerTableOptions<Timer>,
): TimerTable<Timer> {
  const handles = new Map<string, NodeJS.Timeout>();
  return {
    set: (timer, delayMs) => {
      clearTimeout(handles.get(timer.kind));
      handles.set(
        timer.kind,
        startTimer(() => {
          handles.delete(timer.kind);
          options.onDue(timer);
        }, delayMs),
      );
    },
    clear: () => {
      handles.forEach(handle => clearTimeout(handle));
      handles.clear();
    },
  };
}
