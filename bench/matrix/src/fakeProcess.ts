import type {Milliseconds} from '@gentianshunt/clock';

import type {Scheduler} from './scheduler.js';

/** A simulated process that can be killed, frozen and restarted. */
export interface FakeProcess {
  readonly id: string;
  readonly isAlive: boolean;
  /** Number of starts so far. */
  readonly incarnation: number;
  /** Runs an action now, or when the process is no longer frozen. */
  run(action: () => void): void;
  /** Schedules an action that is dropped if the process is killed before. */
  schedule(delayMs: Milliseconds, action: () => void): void;
  /** Schedules an action in place of the one last set under the same name. */
  setTimer(name: string, delayMs: Milliseconds, action: () => void): void;
  freeze(durationMs: Milliseconds): void;
  kill(): void;
  restart(): void;
}

/** Creates a process in its first incarnation. */
export function createFakeProcess(
  id: string,
  scheduler: Scheduler,
): FakeProcess {
  let isAlive = true;
  let incarnation = 1;
  let isFrozen = false;
  const backlog: (() => void)[] = [];
  const timers = new Map<string, symbol>();
  const run = (action: () => void): void => {
    if (isFrozen) {
      backlog.push(action);
    } else if (isAlive) {
      action();
    }
  };
  const schedule = (delayMs: Milliseconds, action: () => void): void => {
    const scheduledIn = incarnation;
    scheduler.schedule(delayMs, () => {
      if (isAlive && scheduledIn === incarnation) {
        run(action);
      }
    });
  };
  return {
    id,
    get isAlive() {
      return isAlive;
    },
    get incarnation() {
      return incarnation;
    },
    run,
    schedule,
    setTimer: (name, delayMs, action) => {
      const token = Symbol(name);
      timers.set(name, token);
      schedule(delayMs, () => {
        if (timers.get(name) === token) {
          action();
        }
      });
    },
    freeze: durationMs => {
      isFrozen = true;
      scheduler.schedule(durationMs, () => {
        isFrozen = false;
        backlog.splice(0).forEach(run);
      });
    },
    kill: () => {
      isAlive = false;
      backlog.length = 0;
      timers.clear();
    },
    restart: () => {
      isAlive = true;
      incarnation += 1;
    },
  };
}
