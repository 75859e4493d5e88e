import {SchedulerError} from '@gentianshunt/errors';

const READMIT_HINT =
  'empty the data folder; the member is then admitted again as a learner';

/** Thrown when data that had been synced is damaged. */
export class CorruptLogError extends SchedulerError {
  constructor(file: string, offset: number) {
    super({
      code: 'ERR_CORRUPT_LOG',
      message: `record at byte ${offset} is damaged`,
      origin: {step: 'readLogFile', peer: file},
      hint: READMIT_HINT,
    });
  }
}

/** Thrown when a file or log entries are missing from a data folder. */
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

/** A failed write or sync, after which nothing more is written to the log. */
export class LogWriteError extends SchedulerError {
  constructor(file: string, step: string, cause: unknown) {
    super({
      code: 'ERR_LOG_WRITE',
      message: 'writing or syncing the log failed',
      origin: {step, peer: file},
      hint: 'check the disk, then restart the process',
      cause,
    });
  }
}
