import type {
  CommandAnswer,
  CommandNumber,
  OperatorCommand,
} from '@gentianshunt/messages';

import type {CommandRecord} from './stateRecords.js';

/** How far a number may lie above the next free one. */
export const MAX_COMMAND_GAP = 1_000_000;

/** What is known of the command numbers. */
export interface CommandNumbers {
  readonly commands: {
    get(number: CommandNumber): CommandRecord | undefined;
  };
  readonly commandFloor: CommandNumber;
  readonly nextCommand: CommandNumber;
}

/** Finds the answer to a command whose number is used or unusable. */
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
