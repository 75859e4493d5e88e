import {compileCommands} from '@gentianshunt/commands';
import type {CommandOutcome} from '@gentianshunt/commands';
import {parseText} from '@gentianshunt/grammar';
import type {LanguageIssue} from '@gentianshunt/grammar';
import type {CommandNumber} from '@gentianshunt/messages';

import {OperatorRequestError} from './operatorClientErrors.js';
import {sendToAny} from './sendToEntry.js';
import type {EntryAccess} from './sendToEntry.js';

/** Most numbers tried while other operators take them. */
export const MAX_NUMBER_TRIES = 10;
/** Most rounds over the entries for one number. */
export const MAX_SEND_ROUNDS = 5;

/** What came of a text of commands. */
export type CommandTextOutcome =
  CommandOutcome | {readonly kind: 'issue'; readonly issue: LanguageIssue};

/** A text of commands to be sent. */
export interface CommandTextOptions {
  readonly access: EntryAccess;
  readonly text: string;
  /** `null` takes the next free number. */
  readonly number: CommandNumber | null;
  readonly wait?: 'accepted' | 'inForce';
  /** Called before a number is sent, so that it can be told. */
  readonly onNumber?: (number: CommandNumber) => void;
}

/**
 * Sends a text of commands under one number. Resends keep the number, so the
 * batch is done at most once. A number that another command took before this
 * one is given up: nothing of this text was done under it.
 */
export async function runCommandText(
  options: CommandTextOptions,
): Promise<CommandTextOutcome> {
  const issue = findIssue(options.text);
  if (issue !== undefined) {
    return {kind: 'issue', issue};
  }
  let number = options.number ?? (await readNextNumber(options.access));
  for (let tries = 1; ; tries += 1) {
    options.onNumber?.(number);
    const outcome = await sendNumber(options, number);
    const isTaken = outcome.kind === 'numberTaken';
    if (!isTaken || options.number !== null || tries === MAX_NUMBER_TRIES) {
      return outcome;
    }
    number = outcome.nextFree;
  }
}

/** Finds what is wrong with a text before a number is spent on it. */
function findIssue(text: string): LanguageIssue | undefined {
  const parsed = parseText(text);
  const read =
    parsed.kind === 'failed' ? parsed : compileCommands(parsed.statements);
  return read.kind === 'failed' ? read.issue : undefined;
}

async function readNextNumber(access: EntryAccess): Promise<CommandNumber> {
  const answer = await sendToAny(
    access,
    {path: '/v1/operator/next-number'},
    ({status}) => status === 200,
  );
  if (answer.status !== 200) {
    const message = 'the control daemons did not tell the next number';
    throw new OperatorRequestError(answer.entry, answer.status, message);
  }
  return (answer.body as {readonly nextFree: CommandNumber}).nextFree;
}

async function sendNumber(
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
    const isOpen =
      outcome.kind === 'undecided' ||
      (outcome.kind === 'accepted' && wait === 'inForce');
    if (!isOpen) {
      return outcome;
    }
  }
  return outcome;
}
