import {SchedulerError} from '@gentianshunt/errors';

/** A record in the middle of the log that fails its checksum. */
export class CorruptLogError extends SchedulerError {
  constructor(file: string, offset: number) {
    super({
      code: 'ERR_CORRUPT_LOG',
      message: `record at byte ${offset} fails its checksum`,
      origin: {step: 'readLogFile', peer: file},
      hint: 'restore the member as a learner with an empty data folder',
    });
  }
}

/** A write or sync that failed; the process must stop. */
export class LogWriteError extends SchedulerError {
  constructor(file: string, step: string, cause: unknown) {
    super({
      code: 'ERR_LOG_WRITE',
      message: 'the log could not be written and synced',
      origin: {step, peer: file},
      hint: 'check the disk, then start the process again',
      cause,
    });
  }
}
