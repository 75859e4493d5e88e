import {DROP_TIMEOUT_MS, MAX_DROPPED_BYTES} from '@gentianshunt/callerFront';
import {SchedulerError} from '@gentianshunt/errors';
import type {Dispatcher} from 'undici';

/** Thrown when the head or the unneeded rest of an answer does not end. */
export class UnboundedAnswerError extends SchedulerError {
  constructor(step: string, peer: string, detail: string) {
    super({
      code: 'ERR_UNBOUNDED_ANSWER',
      message: `the answer does not end: ${detail}`,
      origin: {step, peer},
      hint: 'check the endpoint',
    });
  }
}

/** The rest of an answer that nobody needs. */
export interface DroppedBody {
  /** Counts received bytes. */
  add(bytes: number): void;
  /** Called when the body has ended. */
  end(): void;
}

/**
 * Reads the rest of an answer, so that its connection can be used again. The
 * connection is closed if the rest is too long or too slow.
 */
export function createDroppedBody(
  controller: Dispatcher.DispatchController,
  onUnbounded: (detail: string) => void,
): DroppedBody {
  let received = 0;
  const close = (detail: string): void => {
    clearTimeout(timer);
    onUnbounded(detail);
    controller.abort(new Error(detail));
  };
  const timer = setTimeout(
    () => close(`not complete after ${DROP_TIMEOUT_MS} ms`),
    DROP_TIMEOUT_MS,
  );
  return {
    add: bytes => {
      received += bytes;
      if (received > MAX_DROPPED_BYTES) {
        close(`more than ${MAX_DROPPED_BYTES} bytes`);
      }
    },
    end: () => clearTimeout(timer),
  };
}
