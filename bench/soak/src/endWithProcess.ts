const END_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
const SIGNALLED_EXIT_CODE = 2;

/**
 * Calls a function when this process ends, also by a signal, so that the
 * processes that it started do not outlive it. Returns a function that undoes
 * this.
 */
export function endWithProcess(endAll: () => void): () => void {
  const exitProcess = (): never => process.exit(SIGNALLED_EXIT_CODE);
  process.once('exit', endAll);
  END_SIGNALS.forEach(signal => process.once(signal, exitProcess));
  return () => {
    process.off('exit', endAll);
    END_SIGNALS.forEach(signal => process.off(signal, exitProcess));
  };
}
