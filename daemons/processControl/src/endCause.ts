/** Why a process ends, and the exit code that tells it to a supervisor. */
import {assertNever} from '@gentianshunt/errors';

/** Why a process ends. */
export type EndCause =
  /** A signal requested a graceful shutdown. */
  | {readonly kind: 'stopped'; readonly signal: NodeJS.Signals}
  /** A second signal ended a shutdown that was in progress. */
  | {readonly kind: 'forced'; readonly signal: NodeJS.Signals}
  | {readonly kind: 'settingsInvalid'; readonly error: Error}
  /** The disk failed, or the data folder cannot be used. */
  | {readonly kind: 'storageFailed'; readonly error: Error}
  /** Another process holds an address, or the VM does not have it. */
  | {readonly kind: 'addressUnavailable'; readonly error: Error}
  /** The start failed for another reason. */
  | {readonly kind: 'startFailed'; readonly error: Error}
  /** A controller failed, or nothing handled an error. */
  | {readonly kind: 'fault'; readonly error: Error};

/** Exit codes by cause; Node.js itself uses 1 and 3 to 14. */
const EXIT_CODES: Readonly<Record<EndCause['kind'], number>> = {
  stopped: 0,
  settingsInvalid: 2,
  storageFailed: 3,
  addressUnavailable: 20,
  startFailed: 21,
  fault: 22,
  forced: 23,
};

/** Returns the exit code of a process that ends for a cause. */
export function readExitCode(cause: EndCause): number {
  return EXIT_CODES[cause.kind];
}

/** Returns the error that made a process end; `null` if it was a signal. */
export function findEndError(cause: EndCause): Error | null {
  switch (cause.kind) {
    case 'stopped':
    case 'forced':
      return null;
    case 'settingsInvalid':
    case 'storageFailed':
    case 'addressUnavailable':
    case 'startFailed':
    case 'fault':
      return cause.error;
    default:
      return assertNever(cause, 'findEndError');
  }
}

/** Formats a cause as one word or, for a signal, as `stopped (SIGTERM)`. */
export function formatEndCause(cause: EndCause): string {
  return 'signal' in cause ? `${cause.kind} (${cause.signal})` : cause.kind;
}

/** Thrown by a step of the start that knows for which cause to end. */
export class StartStepError extends Error {
  constructor(readonly endCause: EndCause) {
    super(formatEndCause(endCause), {cause: findEndError(endCause)});
    this.name = 'StartStepError';
  }
}

/** Returns the cause for which a process ends after its start failed. */
export function toStartEndCause(error: unknown): EndCause {
  return error instanceof StartStepError
    ? error.endCause
    : {kind: 'startFailed', error: toError(error)};
}

/** Converts a thrown value to an error. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
