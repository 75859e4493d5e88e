import {SchedulerError} from '@gentianshunt/errors';

/** Thrown when a received frame is longer than the limit. */
export class FrameTooLargeError extends SchedulerError {
  constructor(peer: string, length: number, limit: number) {
    super({
      code: 'ERR_FRAME_TOO_LARGE',
      message: `frame of ${length} bytes exceeds the limit of ${limit} bytes`,
      origin: {step: 'readFrame', peer},
    });
  }
}

/** Thrown when the content of a frame cannot be decoded. */
export class MalformedFrameError extends SchedulerError {
  constructor(peer: string, cause: unknown) {
    super({
      code: 'ERR_MALFORMED_FRAME',
      message: 'frame content is not valid CBOR',
      origin: {step: 'decodeFrame', peer},
      cause,
    });
  }
}
