import {compileCommands} from '@gentianshunt/commands';
import type {CommandOutcome} from '@gentianshunt/commands';
import {parseText} from '@gentianshunt/grammar';
import type {LanguageIssue} from '@gentianshunt/grammar';
import type {CommandNumber} from '@gentianshunt/messages';

import {OperatorRequestError} from './operatorClientErrors.js';
import {sendToAny} from './sendToEntry.js';
import type {EntryAccess} from './sendToEntry.js';

/** Maximum number of command numbers tried while others take them. */
export const MAX_NUMBER_ATTEMPTS = 10;
/** Maximum number of rounds over the entries for one command number. */
export const MAX_SEND_ROUNDS = 5;

/** The outcome of a text of commands, or an error in the text. */
export type CommandTextOutcome =
  CommandOutcome | {readonly kind: 'issue'; readonly issue: LanguageIssue};

/** A text of commands to send. */
export interface CommandTextOptions {
  readonly access: EntryAccess;
  readonly text: string;
  /** The command number; `null` uses the next free one. */
  readonly number: CommandNumber | null;
  readonly wait?: 'accepted' | 'inForce';
  /** Called with each number before commands are sent under it. */
  readonly onNumber?: (number: CommandNumber) => void;
}

/**
 * Sends a text of commands under one command number. Resends use the same
 * number, so the batch is applied at most once. If another command has taken
 * the number, nothing of this text was applied under it, and the next free
 * number is tried unless the caller gave the number.
 */
export async function runCommandText(
  options: CommandTextOptions,
): Promise<CommandTextOutcome> {
  const issue = findIssue(options.text);
  if (issue !== undefined) {
    return {kind: 'issue', issue};
  }
  let number = options.number ?? (await readNextNumber(options.access));
  for (let attempt = 1; ; attempt += 1) {
    options.onNumber?.(number);
    const outcome = await sendCommands(options, number);
    const isTaken = outcome.kind === 'numberTaken';
    if (
      !isTaken ||
      options.number !== null ||
      attempt === MAX_NUMBER_ATTEMPTS
    ) {
      return outcome;
    }
    number = outcome.nextFree;
  }
}

/** Finds an error in a text before a command number is used for it. */
function findIssue(text: string): LanguageIssue | undefined {
  const parsed = parseText(text);
  const compiled =
    parsed.kind === 'failed' ? parsed : compileCommands(parsed.statements);
  return compiled.kind === 'failed' ? compiled.issue : undefined;
}

async function readNextNumber(access: EntryAccess): Promise<CommandNumber> {
  const answer = await sendToAny(
    access,
    {path: '/v1/operator/next-number'},
    ({status}) => status === 200,
  );
  if (answer.status !== 200) {
    const message =
      'the control daemons did not return the next command number';
    throw new OperatorRequestError(answer.entry, answer.status, message);
  }
  return (answer.body as {readonly nextFree: CommandNumber}).nextFree;
}

async function sendCommands(
  options: CommandTextOptions,
  number: CommandNumber,
): Promise<CommandTextOutcome> {
  const {access, text, wait = 'inForce'} = options;
  const message = {
    path: '/v1/operator/commands',
    body: {number, text, wait},
  };
  let outcome: CommandTextOutcome = {kind: 'undecided', number};
  for (let round = 0; round < MAX_SEND_ROUNDS; round += 1) {
    const answer = await sendToAny(
      access,
      message,
      ({body}) => (body as CommandTextOutcome).kind !== 'undecided',
    );
    outcome = answer.body as CommandTextOutcome;
    const isPending =
      outcome.kind === 'undecided' ||
      (outcome.kind === 'accepted' && wait === 'inForce');
    if (!isPending) {
      return outcome;
    }
  }
  return outcome;
}
