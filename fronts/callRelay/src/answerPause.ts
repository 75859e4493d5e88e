import type {ServerResponse} from 'node:http';

import type {MemoryGate} from '@gentianshunt/requestBodies';
import type {Dispatcher} from 'undici';

/** Stops reading an answer until its caller has read what it was sent. */
export type AnswerPause = (controller: Dispatcher.DispatchController) => void;

/**
 * Creates the pause of one answer. What the caller has not read is counted in
 * the account until the caller has read it or disconnects.
 */
export function createAnswerPause(
  gate: MemoryGate,
  response: ServerResponse,
): AnswerPause {
  let isPaused = false;
  return controller => {
    controller.pause();
    if (isPaused) {
      return;
    }
    isPaused = true;
    const held = gate.addHeld(response.writableLength);
    const drain = (): void => {
      isPaused = false;
      response.off('close', close);
      held.release();
      controller.resume();
    };
    const close = (): void => {
      response.off('drain', drain);
      held.release();
    };
    response.once('drain', drain);
    response.once('close', close);
  };
}
