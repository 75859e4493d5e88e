import {formatError} from '@gentianshunt/errors';
import {EntriesUnreachableError} from '@gentianshunt/operatorClient';

/** Exit code for a refused command or a failure. */
export const FAILURE_EXIT_CODE = 1;
/** Exit code for invalid arguments, settings or input. */
export const USAGE_EXIT_CODE = 2;
/** Exit code for a command that is not yet in force or has no answer. */
export const PENDING_EXIT_CODE = 3;
/** Exit code for a query that some entries did not answer. */
export const PARTIAL_EXIT_CODE = 4;

/** Runs a subcommand; prints an error on one line and sets the exit code. */
export async function runChecked(
  action: () => void | Promise<void>,
): Promise<void> {
  try {
    await action();
  } catch (error) {
    console.error(formatError(error));
    process.exitCode =
      error instanceof EntriesUnreachableError
        ? FAILURE_EXIT_CODE
        : USAGE_EXIT_CODE;
  }
}
