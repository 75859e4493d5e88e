import {SchedulerError} from '@gentianshunt/errors';

/** None of the entries answered. */
export class EntriesUnreachableError extends SchedulerError {
  constructor(entries: readonly string[], cause: unknown) {
    super({
      code: 'ERR_ENTRIES_UNREACHABLE',
      message: `no entry answered: ${entries.join(', ')}`,
      origin: {step: 'sendToEntry', peer: entries.join(',')},
      hint: 'pass the URLs of running entries with --entry',
      cause,
    });
  }
}

/** An entry refused a request as unauthorized or malformed. */
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

/** A query for a table returned an error instead of rows. */
export class QueryFailedError extends SchedulerError {
  constructor(entry: string, table: string, outcome: string) {
    super({
      code: 'ERR_QUERY_FAILED',
      message: `query for table ${table} failed: ${outcome}`,
      origin: {step: 'readBurnInput', peer: entry},
      hint: 'check that the control daemons have a leader',
    });
  }
}
