import {SchedulerError} from '@gentianshunt/errors';

/** Thrown when an adapter could not execute an effect. */
export class EffectFailedError extends SchedulerError {
  constructor(effect: string, peer: string, cause: unknown) {
    super({
      code: 'ERR_EFFECT_FAILED',
      message: cause instanceof Error ? cause.message : String(cause),
      origin: {step: effect, peer},
      hint: 'the other effects of the turn are executed',
      cause,
    });
  }
}
