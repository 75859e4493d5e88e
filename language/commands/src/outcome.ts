import type {CommandRefusal} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import type {
  CommandAnswer,
  CommandNumber,
  ConfigurationVersion,
  InForceStatus,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** The outcome of a batch of commands, as sent to the operator. */
export type CommandOutcome =
  | {
      /** Every entry that holds a lease uses this version. */
      readonly kind: 'inForce';
      readonly number: CommandNumber;
      readonly version: ConfigurationVersion;
    }
  | {
      /** Committed, but some entries may still use an older version. */
      readonly kind: 'accepted';
      readonly number: CommandNumber;
      readonly version: ConfigurationVersion;
      readonly unconfirmed: readonly NodeId[];
      /** Longest time that leases of an earlier leader may stay valid. */
      readonly settlingMs: number;
    }
  | {
      /** No command of the batch was applied. */
      readonly kind: 'refused';
      readonly number: CommandNumber;
      readonly refusal: CommandRefusal;
    }
  | Exclude<CommandAnswer, {readonly kind: 'applied'}>
  /** No answer yet; it is safe to send the same number again. */
  | {readonly kind: 'undecided'; readonly number: CommandNumber};

/**
 * Creates the outcome from the answer of the control log and from whether the
 * version is in force.
 */
export function toOutcome(
  number: CommandNumber,
  answer: CommandAnswer | null,
  status: InForceStatus | null,
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

/** Formats an outcome as one line of text. */
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
      return `command ${number}: the number was used for another command by ${outcome.winner}; the next free number is ${outcome.nextFree}`;
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
  const reasons = [
    unconfirmed.length === 0
      ? ''
      : `not yet confirmed by ${unconfirmed.join(', ')}`,
    settlingMs === 0
      ? ''
      : `leases of an earlier leader may stay valid for ${Math.ceil(settlingMs)} ms`,
  ].filter(text => text !== '');
  const reason =
    reasons.length === 0 ? 'not yet confirmed' : reasons.join('; ');
  return `command ${number}: accepted at version ${version}, ${reason}`;
}

/** Formats why a batch was refused. */
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
      return `${refusal.key} cannot have rank ${refusal.rank}, which ${refusal.by} has`;
    case 'lastTier':
      return `${refusal.key} is the last tier`;
    case 'orderUnderWay':
      return `${refusal.key} is being executed`;
    case 'batchTooLong':
      return `a batch has at most ${refusal.limit} commands`;
    case 'invalidValue':
      return `${refusal.key}: ${refusal.reason}`;
    default:
      return assertNever(refusal, 'formatRefusal');
  }
}
