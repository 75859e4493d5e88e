/** Tells errors of one connection from faults of the process. */

/** System calls whose failure concerns one connection only. */
const CONNECTION_CALLS: ReadonlySet<string> = new Set([
  'accept',
  'connect',
  'read',
  'shutdown',
  'write',
]);
/** What those calls fail with on a connection; a file fails otherwise. */
const CONNECTION_CODES: ReadonlySet<string> = new Set([
  'ECONNABORTED',
  'ECONNREFUSED',
  'ECONNRESET',
  'EHOSTUNREACH',
  'EMFILE',
  'ENETUNREACH',
  'ENFILE',
  'ENOTCONN',
  'EPIPE',
  'ETIMEDOUT',
]);
/** Errors of a stream that was closed while it was still in use. */
const CLOSED_STREAM_CODES: ReadonlySet<string> = new Set([
  'ERR_STREAM_DESTROYED',
  'ERR_STREAM_PREMATURE_CLOSE',
  'ERR_STREAM_WRITE_AFTER_END',
]);

/**
 * Returns whether an error that nothing handled ended one connection only. Such
 * an error leaves the state of the process as it was.
 */
export function isConnectionError(error: Error): boolean {
  const {code, syscall} = error as NodeJS.ErrnoException;
  if (code === undefined) {
    return false;
  }
  const isConnectionCall =
    syscall !== undefined && CONNECTION_CALLS.has(syscall);
  return (
    (isConnectionCall && CONNECTION_CODES.has(code)) ||
    CLOSED_STREAM_CODES.has(code)
  );
}
