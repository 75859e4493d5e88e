import {SchedulerError} from '@gentianshunt/errors';

/** A message between entries that cannot be decoded. */
export class MalformedMessageError extends SchedulerError {
  constructor(peer: string, detail: string) {
    super({
      code: 'ERR_MALFORMED_MESSAGE',
      message: `malformed message between entries: ${detail}`,
      origin: {step: 'decodeEntryMessage', peer},
    });
  }
}
