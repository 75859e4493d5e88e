import {SchedulerError} from '@gentianshunt/errors';

/** No entry answered. */
export class EntriesUnreachableError extends SchedulerError {
  constructor(entries: readonly string[], cause: unknown) {
    super({
      code: 'ERR_ENTRIES_UNREACHABLE',
      message: `no entry answered: ${entries.join(', ')}`,
      origin: {step: 'sendToEntry', peer: entries.join(',')},
      hint: 'name running entries with --entry',
      cause,
    });
  }
}

/** An entry refused the request itself. */
export class OperatorRequestError extends SchedulerError {
  constructor(entry: string, status: number, message: string) {
    super({
      code: 'ERR_OPERATOR_REQUEST',
      message: `HTTP ${status}: ${message}`,
      origin: {step: 'sendToEntry', peer: entry},
      ...(status === 401 ? {hint: 'check the key with --key-file'} : {}),
    });
  }
}
