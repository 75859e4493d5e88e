import {formatError} from '@gentianshunt/errors';

/** Exit code of a command that was refused or failed. */
export const FAILURE_EXIT_CODE = 1;
/** Exit code of wrong arguments, settings or input. */
export const USAGE_EXIT_CODE = 2;

/** Runs a step; an error is printed on one line and ends the process. */
export async function runChecked(
  step: () => void | Promise<void>,
): Promise<void> {
  try {
    await step();
  } catch (error) {
    console.error(formatError(error));
    process.exitCode = USAGE_EXIT_CODE;
  }
}
