import type {Milliseconds} from '@gentianshunt/clock';

import type {Schedule} from './schedule.js';

/** A process that can be killed, frozen and started again. */
export interface FakeProcess {
  readonly id: string;
  readonly isAlive: boolean;
  /** Counts the starts. */
  readonly incarnation: number;
  /** Runs an action now, or once the process is no longer frozen. */
  run(action: () => void): void;
  /** Plans an action that is dropped if the process dies before. */
  plan(delayMs: Milliseconds, action: () => void): void;
  setTimer(name: string, delayMs: Milliseconds, action: () => void): void;
  freeze(durationMs: Milliseconds): void;
  kill(): void;
  revive(): void;
}

/** Creates a process that is alive. */
export function createFakeProcess(id: string, schedule: Schedule): FakeProcess {
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
  const plan = (delayMs: Milliseconds, action: () => void): void => {
    const planned = incarnation;
    schedule.plan(delayMs, () => {
      if (isAlive && planned === incarnation) {
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
    plan,
    setTimer: (name, delayMs, action) => {
      const token = Symbol(name);
      timers.set(name, token);
      plan(delayMs, () => {
        if (timers.get(name) === token) {
          action();
        }
      });
    },
    freeze: durationMs => {
      isFrozen = true;
      schedule.plan(durationMs, () => {
        isFrozen = false;
        backlog.splice(0).forEach(run);
      });
    },
    kill: () => {
      isAlive = false;
      backlog.length = 0;
      timers.clear();
    },
    revive: () => {
      isAlive = true;
      incarnation += 1;
    },
  };
}
