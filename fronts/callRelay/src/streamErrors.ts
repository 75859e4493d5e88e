/** What the errors of a connection to an endpoint say of a stream. */
import type {AnswerProgress, StreamEnd} from '@gentianshunt/entryModel';

const HEAD_OVERFLOW_CODE = 'UND_ERR_HEADERS_OVERFLOW';

/** Errors while connecting; no byte of the call has been sent by then. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Returns whether the head of an answer was too long. */
export function isHeadOverflow(error: Error): boolean {
  return readErrorCode(error) === HEAD_OVERFLOW_CODE;
}

/**
 * Returns whether an error broke off an answer that had ended its request as
 * failed; an error without a code means that this process closed the connection.
 */
export function isBrokenFailure(end: StreamEnd, error: Error): boolean {
  return end.kind === 'failed' && readErrorCode(error) !== undefined;
}

function readErrorCode(error: Error): string | undefined {
  return (error as NodeJS.ErrnoException).code;
}

/** Returns whether an error occurred before a byte of the call was sent. */
export function isNotSent(error: Error): boolean {
  const code = readErrorCode(error);
  return code !== undefined && NOT_SENT_CODES.has(code);
}

/** Describes how an error ended a stream. */
export function toStreamEnd(error: Error, progress: AnswerProgress): StreamEnd {
  const code = readErrorCode(error);
  return isNotSent(error)
    ? {kind: 'notSent', detail: code ?? error.message}
    : {kind: 'cut', detail: code ?? error.message, events: 0, progress};
}
