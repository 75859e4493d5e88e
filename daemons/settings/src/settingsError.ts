import {SchedulerError} from '@gentianshunt/errors';

/** Thrown when a settings file cannot be read or is invalid. */
export class SettingsError extends SchedulerError {
  constructor(file: string, key: string, line: number | null, reason: string) {
    const location = line === null ? file : `${file}:${line}`;
    super({
      code: 'ERR_SETTINGS',
      message: `${location}: ${key === '' ? '' : `${key}: `}${reason}`,
      origin: {step: 'readSettings', peer: file},
      hint: 'see docs/OPERATIONS.md for a description of every key',
    });
  }
}
