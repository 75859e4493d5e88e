import {formatError} from '@gentianshunt/errors';
import {EntriesUnreachableError} from '@gentianshunt/operatorClient';

/** Exit code of a command that was refused or failed. */
export const FAILURE_EXIT_CODE = 1;
/** Exit code of wrong arguments, settings or input. */
export const USAGE_EXIT_CODE = 2;

/** Exit code of a command that is not yet in force or has no answer. */
export const PENDING_EXIT_CODE = 3;
/** Exit code of a query that some entries did not answer. */
export const PARTIAL_EXIT_CODE = 4;

/** Runs a step; an error is printed on one line and ends the process. */
export async function runChecked(
  step: () => void | Promise<void>,
): Promise<void> {
  try {
    await step();
  } catch (error) {
    console.error(formatError(error));
    process.exitCode =
      error instanceof EntriesUnreachableError
        ? FAILURE_EXIT_CODE
        : USAGE_EXIT_CODE;
  }
}
