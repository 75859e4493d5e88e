import {assertNever} from '@gentianshunt/errors';
import {formatIssue} from '@gentianshunt/grammar';
import {runQueryText} from '@gentianshunt/operatorClient';
import type {QueryTextOutcome} from '@gentianshunt/operatorClient';
import {formatResult, listRecords} from '@gentianshunt/queries';
import {defineCommand} from 'citty';

import {
  FAILURE_EXIT_CODE,
  PARTIAL_EXIT_CODE,
  runChecked,
  USAGE_EXIT_CODE,
} from './exitCodes.js';
import {OPERATOR_ARGS, readEntryAccess} from './operatorArgs.js';

/** Runs a query in the operators' language. */
export const queryCommand = defineCommand({
  meta: {
    name: 'query',
    description:
      'Run a query such as "show waiting where tier = gold", or "help". Exit codes: 0 success, 1 no answer, 2 invalid text, 4 some entries did not answer.',
  },
  args: OPERATOR_ARGS,
  run: ({args}) =>
    runChecked(async () => {
      const outcome = await runQueryText(readEntryAccess(args), args.text);
      printOutcome(outcome, args.json === true);
    }),
});

function printOutcome(outcome: QueryTextOutcome, isJson: boolean): void {
  switch (outcome.kind) {
    case 'rows':
      console.log(
        isJson
          ? JSON.stringify(listRecords(outcome.result))
          : formatResult(outcome.result),
      );
      if (outcome.missing.length > 0) {
        console.error(`no answer from ${outcome.missing.join(', ')}`);
        process.exitCode = PARTIAL_EXIT_CODE;
      }
      return;
    case 'help':
      console.log(isJson ? JSON.stringify(outcome) : outcome.text);
      return;
    case 'issue':
      console.error(
        isJson ? JSON.stringify(outcome.issue) : formatIssue(outcome.issue),
      );
      process.exitCode = USAGE_EXIT_CODE;
      return;
    case 'unavailable':
      console.error('the control daemons did not answer');
      process.exitCode = FAILURE_EXIT_CODE;
      return;
    default:
      assertNever(outcome, 'printOutcome');
  }
}
