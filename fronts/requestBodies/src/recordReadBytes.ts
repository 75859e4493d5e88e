/** Frees the buffers into which sockets are read soon after they are used. */

/** Collects the young generation, where the runtime permits it. */
type Collect = (options: {readonly type: 'minor'}) => void;

/** Bytes read from sockets after which their buffers are collected. */
const COLLECT_AFTER_BYTES = 8 * 1_024 * 1_024;

/** Defined if the runtime was started with `--expose-gc`. */
const collect = (globalThis as {readonly gc?: Collect}).gc;

let readBytes = 0;

/**
 * Counts bytes that were read from a socket. The runtime by itself collects
 * their buffers only once they take 32 MiB, a large part of a small machine.
 */
export function recordReadBytes(bytes: number): void {
  readBytes += bytes;
  if (readBytes >= COLLECT_AFTER_BYTES) {
    readBytes = 0;
    collect?.({type: 'minor'});
  }
}
