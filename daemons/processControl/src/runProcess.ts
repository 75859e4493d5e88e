/** Runs a daemon in this process: performs what `advanceProcess` decides. */
import {assertNever, formatError} from '@gentianshunt/errors';
import type {Logger, LogEvent} from '@gentianshunt/logging';

import {
  findEndError,
  formatEndCause,
  readExitCode,
  toError,
  toStartEndCause,
} from './endCause.js';
import type {EndCause} from './endCause.js';
import {advanceProcess, INITIAL_STATE} from './processState.js';
import type {
  ProcessAction,
  ProcessEvent,
  ProcessPolicy,
} from './processState.js';
import {SIGNAL_REQUESTS} from './signals.js';

/** A daemon that has started. */
export interface RunningDaemon {
  /** Starts a graceful shutdown; `onDrained` reports its end. */
  drain(): void;
  /** Reads the settings again. */
  reload(): void;
}

/** What a daemon uses while it starts and runs. */
export interface StartContext {
  /** Aborted when a stop signal arrives before the start is complete. */
  readonly cancelled: AbortSignal;
  /** Sets the logger; events written before are passed to it. */
  useLogger(logger: Logger): void;
  write(event: LogEvent): void;
  /** Reports that a graceful shutdown is complete. */
  onDrained(): void;
  /** Reports that a part of the process cannot go on. */
  onFailed(cause: EndCause): void;
}

/** Options for running a daemon. */
export interface RunProcessOptions {
  readonly policy: ProcessPolicy;
  readonly start: (context: StartContext) => Promise<RunningDaemon>;
}

/**
 * Starts a daemon and ends this process when it is over. Must be called before
 * the program loads its other modules, as a signal that arrives before ends the
 * process.
 */
export function runProcess({policy, start}: RunProcessOptions): void {
  const log = createDeferredLog();
  const cancellation = new AbortController();
  let state = INITIAL_STATE;
  let daemon: RunningDaemon | undefined;
  let limitTimer: NodeJS.Timeout | undefined;
  const post = (event: ProcessEvent): void => {
    const next = advanceProcess(policy, state, event);
    state = next.state;
    next.actions.forEach(perform);
  };
  const perform = (action: ProcessAction): void => {
    switch (action.kind) {
      case 'recordIgnoredSignal':
        log.write({kind: 'signalIgnored', signal: action.signal});
        return;
      case 'recordConnectionError':
        log.write({kind: 'connectionFailed', error: action.error});
        return;
      case 'recordFault':
        log.write({kind: 'faultDetected', error: findEndError(action.cause)!});
        return;
      case 'cancelStart':
        cancellation.abort();
        return;
      case 'reload':
        daemon?.reload();
        return;
      case 'drain':
        log.write({
          kind: 'daemonStopping',
          cause: formatEndCause(action.cause),
        });
        guardFault(() => daemon?.drain());
        return;
      case 'limitTime':
        clearTimeout(limitTimer);
        limitTimer = setTimeout(
          () => post({kind: 'limitReached'}),
          action.limitMs,
        );
        return;
      case 'exit':
        void exitProcess(log, action.cause);
        return;
      default:
        assertNever(action, 'perform');
    }
  };
  const guardFault = (run: () => void): void => {
    try {
      run();
    } catch (thrown) {
      const error = toError(thrown);
      post({kind: 'partFailed', cause: {kind: 'fault', error}});
    }
  };
  handleSignals(post);
  handleUncaughtErrors(post);
  start({
    cancelled: cancellation.signal,
    useLogger: log.useLogger,
    write: log.write,
    onDrained: () => post({kind: 'drained'}),
    onFailed: cause => post({kind: 'partFailed', cause}),
  }).then(
    started => {
      daemon = started;
      post({kind: 'started'});
    },
    (error: unknown) =>
      post({kind: 'startFailed', cause: toStartEndCause(error)}),
  );
}

function handleSignals(post: (event: ProcessEvent) => void): void {
  for (const signal of SIGNAL_REQUESTS.keys()) {
    process.on(signal, () => post({kind: 'signalReceived', signal}));
  }
}

function handleUncaughtErrors(post: (event: ProcessEvent) => void): void {
  const postError = (thrown: unknown): void =>
    post({kind: 'errorUncaught', error: toError(thrown)});
  process.on('uncaughtException', postError);
  process.on('unhandledRejection', postError);
}

/** A log that keeps its events until there is a logger. */
interface DeferredLog {
  useLogger(logger: Logger): void;
  write(event: LogEvent): void;
  /** Finds the logger; `undefined` before it is set. */
  findLogger(): Logger | undefined;
}

function createDeferredLog(): DeferredLog {
  let logger: Logger | undefined;
  let deferred: LogEvent[] = [];
  return {
    useLogger: used => {
      logger = used;
      deferred.forEach(used.write);
      deferred = [];
    },
    write: event => {
      if (logger === undefined) {
        deferred.push(event);
      } else {
        logger.write(event);
      }
    },
    findLogger: () => logger,
  };
}

async function exitProcess(log: DeferredLog, cause: EndCause): Promise<void> {
  const exitCode = readExitCode(cause);
  const error = findEndError(cause);
  const logger = log.findLogger();
  if (logger === undefined) {
    const detail = error === null ? '' : `: ${formatError(error)}`;
    console.error(`${formatEndCause(cause)}${detail}`);
    process.exit(exitCode);
  }
  await logger.writeLast({
    kind: 'daemonStopped',
    exitCode,
    cause: formatEndCause(cause),
    error,
  });
  process.exit(exitCode);
}
