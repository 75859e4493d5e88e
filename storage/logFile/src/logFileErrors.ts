import {SchedulerError} from '@gentianshunt/errors';

const READMIT_HINT =
  'empty the data folder; the member is then admitted again as a learner';

/** A file that is damaged in a place that had been synced. */
export class CorruptLogError extends SchedulerError {
  constructor(file: string, offset: number) {
    super({
      code: 'ERR_CORRUPT_LOG',
      message: `record at byte ${offset} fails its checksum`,
      origin: {step: 'readLogFile', peer: file},
      hint: READMIT_HINT,
    });
  }
}

/** A data folder in which a file is missing or fits no other. */
export class IncompleteFolderError extends SchedulerError {
  constructor(folder: string, detail: string) {
    super({
      code: 'ERR_INCOMPLETE_FOLDER',
      message: `the data folder is incomplete: ${detail}`,
      origin: {step: 'openLogFile', peer: folder},
      hint: READMIT_HINT,
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
