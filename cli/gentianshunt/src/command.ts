import {formatOutcome} from '@gentianshunt/commands';
import {assertNever} from '@gentianshunt/errors';
import {formatIssue} from '@gentianshunt/grammar';
import {runCommandText} from '@gentianshunt/operatorClient';
import type {CommandTextOutcome} from '@gentianshunt/operatorClient';
import {defineCommand} from 'citty';

import {
  FAILURE_EXIT_CODE,
  PENDING_EXIT_CODE,
  runChecked,
  USAGE_EXIT_CODE,
} from './exitCodes.js';
import {OPERATOR_ARGS, readEntryAccess} from './operatorArgs.js';

/** Sends commands in the operators' language as one batch. */
export const commandCommand = defineCommand({
  meta: {
    name: 'command',
    description:
      'Send commands such as "set tier gold weight 4"; several separated by ; are applied completely or not at all. Exit codes: 0 in force (or accepted, with --wait accepted), 1 refused, 2 invalid text, 3 not yet in force or undecided.',
  },
  args: {
    ...OPERATOR_ARGS,
    number: {
      type: 'string',
      description: 'Command number; the next free one by default',
    },
    wait: {
      type: 'enum',
      options: ['accepted', 'inForce'],
      default: 'inForce',
      description: 'State of the command to wait for',
    },
  },
  run: ({args}) =>
    runChecked(async () => {
      const wait = args.wait === 'accepted' ? 'accepted' : 'inForce';
      const outcome = await runCommandText({
        access: readEntryAccess(args),
        text: args.text,
        number: args.number === undefined ? null : Number(args.number),
        wait,
        // Printed before the answer arrives, so that the operator can send
        // the command again under the same number if no answer arrives.
        onNumber: number => console.error(`command number ${number}`),
      });
      printOutcome(outcome, args.json === true);
      process.exitCode = readExitCode(outcome, wait);
    }),
});

function printOutcome(outcome: CommandTextOutcome, isJson: boolean): void {
  if (isJson) {
    console.log(JSON.stringify(outcome));
    return;
  }
  console.log(
    outcome.kind === 'issue'
      ? formatIssue(outcome.issue)
      : formatOutcome(outcome),
  );
}

function readExitCode(
  outcome: CommandTextOutcome,
  wait: 'accepted' | 'inForce',
): number {
  switch (outcome.kind) {
    case 'inForce':
      return 0;
    case 'accepted':
      return wait === 'accepted' ? 0 : PENDING_EXIT_CODE;
    case 'undecided':
      return PENDING_EXIT_CODE;
    case 'refused':
    case 'numberTaken':
    case 'numberForgotten':
    case 'numberTooHigh':
      return FAILURE_EXIT_CODE;
    case 'issue':
      return USAGE_EXIT_CODE;
    default:
      return assertNever(outcome, 'readExitCode');
  }
}
