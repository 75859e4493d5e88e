import {SchedulerError} from '@gentianshunt/errors';

/** Thrown when handling one call failed in a way that was not expected. */
export class CallFailedError extends SchedulerError {
  constructor(step: string, peer: string, cause: unknown) {
    super({
      code: 'ERR_CALL_FAILED',
      message: cause instanceof Error ? cause.message : String(cause),
      origin: {step, peer},
      hint: 'the other calls of the entry go on',
      cause,
    });
  }
}
