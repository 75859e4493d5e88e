import type {
  CommandAnswer,
  CommandNumber,
  OperatorCommand,
} from '@gentianshunt/messages';

import type {CommandRecord} from './stateRecords.js';

/** A command number this far above the next free one, or more, is refused. */
export const MAX_COMMAND_GAP = 1_000_000;

/** The parts of the applied state that decide about a command number. */
export interface CommandNumbers {
  readonly commands: {
    get(number: CommandNumber): CommandRecord | undefined;
  };
  /** Lower numbers without a record were used and forgotten. */
  readonly commandFloor: CommandNumber;
  readonly nextCommand: CommandNumber;
}

/**
 * Finds the answer to a command whose number is already used or cannot be
 * used. Returns `undefined` if the command may be proposed under its number.
 */
export function findCommandAnswer(
  numbers: CommandNumbers,
  command: OperatorCommand,
): CommandAnswer | undefined {
  const {number, operator, digest} = command;
  const nextFree = numbers.nextCommand;
  const record = numbers.commands.get(number);
  if (record === undefined) {
    if (number < numbers.commandFloor) {
      return {kind: 'numberForgotten', number, nextFree};
    }
    return number >= nextFree + MAX_COMMAND_GAP
      ? {kind: 'numberTooHigh', number, nextFree}
      : undefined;
  }
  if (record.operator === operator && record.digest === digest) {
    return record.answer;
  }
  return {
    kind: 'numberTaken',
    number,
    winner: record.operator,
    winnerDigest: record.digest,
    nextFree,
  };
}
