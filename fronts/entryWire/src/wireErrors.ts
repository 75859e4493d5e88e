import {SchedulerError} from '@gentianshunt/errors';

/** A message between entries that does not have its wire form. */
export class MalformedMessageError extends SchedulerError {
  constructor(peer: string, field: string) {
    super({
      code: 'ERR_MALFORMED_MESSAGE',
      message: `message between entries is malformed at ${field}`,
      origin: {step: 'decodeEntryMessage', peer},
    });
  }
}
