import type {CommandRefusal} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import type {
  CommandAnswer,
  CommandNumber,
  ConfigurationVersion,
  ForceStatus,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** What an operator is told of a command. */
export type CommandOutcome =
  | {
      /** Every entry that takes requests acts on it. */
      readonly kind: 'inForce';
      readonly number: CommandNumber;
      readonly version: ConfigurationVersion;
    }
  | {
      /** Committed, but some entries may still act on an older version. */
      readonly kind: 'accepted';
      readonly number: CommandNumber;
      readonly version: ConfigurationVersion;
      readonly unconfirmed: readonly NodeId[];
      readonly settlingMs: number;
    }
  | {
      /** Nothing of the batch was done. */
      readonly kind: 'refused';
      readonly number: CommandNumber;
      readonly refusal: CommandRefusal;
    }
  | Exclude<CommandAnswer, {readonly kind: 'applied'}>
  /** No answer yet; the same number may be sent again safely. */
  | {readonly kind: 'undecided'; readonly number: CommandNumber};

/** Joins the answer of the log with what is known of its being in force. */
export function toOutcome(
  number: CommandNumber,
  answer: CommandAnswer | null,
  status: ForceStatus | null,
): CommandOutcome {
  if (answer === null) {
    return {kind: 'undecided', number};
  }
  if (answer.kind !== 'applied') {
    return answer;
  }
  const {version, result} = answer;
  if (result.kind === 'refused') {
    return {kind: 'refused', number, refusal: result.refusal};
  }
  return status?.isInForce === true
    ? {kind: 'inForce', number, version}
    : {
        kind: 'accepted',
        number,
        version,
        unconfirmed: status?.unconfirmed ?? [],
        settlingMs: status?.settlingMs ?? 0,
      };
}

/** Tells an outcome in one sentence. */
export function formatOutcome(outcome: CommandOutcome): string {
  const {number} = outcome;
  switch (outcome.kind) {
    case 'inForce':
      return `command ${number}: in force everywhere at version ${outcome.version}`;
    case 'accepted':
      return formatAccepted(outcome);
    case 'refused':
      return `command ${number}: refused, nothing was changed: ${formatRefusal(outcome.refusal)}`;
    case 'numberTaken':
      return `command ${number}: the number belongs to another command of ${outcome.winner}; the next free number is ${outcome.nextFree}`;
    case 'numberForgotten':
      return `command ${number}: the number is too old to be checked; the next free number is ${outcome.nextFree}`;
    case 'numberTooHigh':
      return `command ${number}: the number is too high; the next free number is ${outcome.nextFree}`;
    case 'undecided':
      return `command ${number}: no answer yet; send it again with the same number`;
    default:
      return assertNever(outcome, 'formatOutcome');
  }
}

function formatAccepted(
  outcome: Extract<CommandOutcome, {readonly kind: 'accepted'}>,
): string {
  const {number, version, unconfirmed, settlingMs} = outcome;
  const waits = [
    unconfirmed.length === 0
      ? ''
      : `not yet confirmed by ${unconfirmed.join(', ')}`,
    settlingMs === 0
      ? ''
      : `leases of an earlier leader may live for ${Math.ceil(settlingMs)} ms`,
  ].filter(text => text !== '');
  const reason = waits.length === 0 ? 'not yet confirmed' : waits.join('; ');
  return `command ${number}: accepted at version ${version}, ${reason}`;
}

/** Tells why a batch was refused. */
export function formatRefusal(refusal: CommandRefusal): string {
  switch (refusal.kind) {
    case 'revisionMismatch':
      return `${refusal.key} has revision ${refusal.current}, not ${refusal.expected}`;
    case 'notFound':
      return `${refusal.key} does not exist`;
    case 'brokenReference':
      return `${refusal.key} refers to ${refusal.missing}, which does not exist`;
    case 'stillReferenced':
      return `${refusal.by} still refers to ${refusal.key}`;
    case 'setInUse':
      return `${refusal.key} still has endpoints`;
    case 'rankTaken':
      return `${refusal.key} has the rank ${refusal.rank} of ${refusal.by}`;
    case 'lastTier':
      return `${refusal.key} is the last tier`;
    case 'orderUnderWay':
      return `${refusal.key} is being carried out`;
    case 'batchTooLong':
      return `a batch has at most ${refusal.limit} commands`;
    case 'invalidValue':
      return `${refusal.key}: ${refusal.reason}`;
    default:
      return assertNever(refusal, 'formatRefusal');
  }
}
