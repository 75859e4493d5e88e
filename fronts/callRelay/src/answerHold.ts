/** Holds the events of an answer until the entry lets the caller have them. */
export interface AnswerHold {
  /** Runs an action: at once, or in order when the answer is released. */
  run(action: () => void): void;
  readonly isHeld: boolean;
  release(): void;
}

/** Creates the hold of one call, which an answer passes at once unless it is held. */
export function createAnswerHold(isHeld: boolean): AnswerHold {
  let waiting: (() => void)[] | undefined = isHeld ? [] : undefined;
  return {
    run: action => {
      if (waiting === undefined) {
        action();
      } else {
        waiting.push(action);
      }
    },
    get isHeld() {
      return waiting !== undefined;
    },
    release: () => {
      // Actions may lead to others, which come after those that wait.
      while (waiting !== undefined && waiting.length > 0) {
        waiting.shift()!();
      }
      waiting = undefined;
    },
  };
}
