import {CallFailedError} from './callFailedError.js';
import type {CallStep} from './callStep.js';

/** Options of a guarded action. */
export interface GuardOptions {
  readonly step: string;
  readonly peer: string;
  readonly onStep: (step: CallStep) => void;
  /** Ends the call after an unexpected error. */
  readonly onFailed: (error: CallFailedError) => void;
}

/**
 * Runs an action of one call; an unexpected error ends this call only. The
 * action must not post observations: an error of the board ends the process.
 */
export function guardCall<Result>(
  options: GuardOptions,
  action: () => Result,
): Result | undefined {
  try {
    return action();
  } catch (cause) {
    const error = new CallFailedError(options.step, options.peer, cause);
    options.onStep({kind: 'callFailed', error});
    options.onFailed(error);
    return undefined;
  }
}
