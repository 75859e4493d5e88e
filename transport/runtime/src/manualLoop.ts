import type {Milliseconds} from '@gentianshunt/clock';

import type {LoopMonitor} from './loopMonitor.js';

/** An event loop whose lag a test sets. */
export interface ManualLoop extends LoopMonitor {
  /** Sets the lag; above zero, actions wait until `finishReading`. */
  setLag(lagMs: Milliseconds): void;
  /** Runs the actions that wait until arrived data is read. */
  finishReading(): void;
}

/** Creates an event loop that is not late. */
export function createManualLoop(initialLagMs: Milliseconds = 0): ManualLoop {
  let lagMs = initialLagMs;
  let waiting: (() => void)[] = [];
  return {
    readLag: () => lagMs,
    runAfterReading: action => {
      if (lagMs === 0) {
        action();
      } else {
        waiting.push(action);
      }
    },
    runOnceRead: action => action(),
    setLag: value => {
      lagMs = value;
    },
    finishReading: () => {
      const actions = waiting;
      waiting = [];
      actions.forEach(action => action());
    },
    close: () => undefined,
  };
}
