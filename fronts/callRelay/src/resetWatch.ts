import {buildConnector} from 'undici';

/** What the connections of a client need. */
export interface ResetWatchOptions {
  /** Longest wait for a connection, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Tells apart the connections that end from those that break. The client
 * library takes a body that only the end of its connection delimits for whole
 * even when the connection was reset.
 */
export interface ResetWatch {
  readonly connect: buildConnector.connector;
  /** Whether what happens now is caused by a connection that broke. */
  isBreaking(): boolean;
}

/** Creates a watch over the connections of one client. */
export function createResetWatch(options: ResetWatchOptions): ResetWatch {
  const open = buildConnector({timeout: options.timeoutMs});
  let isBreaking = false;
  const noteError = (): void => {
    isBreaking = true;
    // The client's own listeners run before this does.
    process.nextTick(() => {
      isBreaking = false;
    });
  };
  return {
    connect: (target, callback) => {
      open(target, (...result) => {
        const [, socket] = result;
        socket?.setNoDelay(true);
        // Added first, it is called before the client's own listener.
        socket?.prependListener('error', noteError);
        callback(...result);
      });
    },
    isBreaking: () => isBreaking,
  };
}
