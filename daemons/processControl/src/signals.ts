/** How a process responds to signals. */

/** What a signal asks of a process. */
export type SignalRequest =
  /** Finish what is in progress, accept nothing new, then exit. */
  | 'stop'
  /** Read the settings again. */
  | 'reload'
  /** Nothing; it is logged, and must not end the process. */
  | 'none';

/**
 * The signals that a process handles. The default action of each of them would
 * end the process, or open the runtime's inspector (`SIGUSR1`). The runtime
 * ignores `SIGPIPE` and `SIGXFSZ` by itself.
 */
export const SIGNAL_REQUESTS: ReadonlyMap<NodeJS.Signals, SignalRequest> =
  new Map([
    ['SIGTERM', 'stop'],
    ['SIGINT', 'stop'],
    ['SIGQUIT', 'stop'],
    ['SIGHUP', 'reload'],
    ['SIGUSR1', 'none'],
    ['SIGUSR2', 'none'],
    ['SIGALRM', 'none'],
    ['SIGVTALRM', 'none'],
    ['SIGIO', 'none'],
    ['SIGPWR', 'none'],
  ]);
