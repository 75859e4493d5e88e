import {pino} from 'pino';
import type {DestinationStream} from 'pino';

import {readLogClass} from './logClass.js';
import type {LogClass} from './logClass.js';
import type {LogEvent} from './logEvent.js';
import {toLogRecord} from './logRecord.js';

/** Limit of the class `outcome`: lines on how requests ended. */
export const MAX_OUTCOME_LINES_PER_SECOND = 1_000;
/** Limit of the class `detail`: lines on single steps of requests. */
export const MAX_DETAIL_LINES_PER_SECOND = 300;
/** Bytes buffered for a slow reader; beyond them lines are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Bytes buffered before they are written to standard output. */
const FLUSH_THRESHOLD_BYTES = 4_096;
/** Longest time that a line stays in the buffer. */
const FLUSH_INTERVAL_MS = 250;
/** Longest wait until a reader has taken the buffered lines. */
export const FLUSH_TIMEOUT_MS = 1_000;
const STDOUT_FD = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Writes events to the log. */
export interface Logger {
  write(event: LogEvent): void;
  /**
   * Writes the last line of a process, behind those that a slow reader has not
   * taken yet, and closes the log. Resolves after a timeout at the latest.
   */
  writeLast(event: LogEvent): Promise<void>;
  /** Returns a logger that writes to the same output for another daemon. */
  withNode(node: string): Logger;
}

/** Options of a logger. */
export interface LoggerOptions {
  /** Name of the daemon, added to each line. */
  readonly node: string;
  /** Receives the lines; standard output by default. */
  readonly destination?: DestinationStream;
  /** Reads a monotonic clock, in milliseconds. */
  readonly readTime?: () => number;
}

/** Creates a logger that writes JSON lines and never blocks. */
export function createLogger(options: LoggerOptions): Logger {
  const limiter = createRateLimiter(
    options.readTime ?? (() => performance.now()),
  );
  return createNodeLogger(options.node, createOutput(options), limiter);
}

function createNodeLogger(
  node: string,
  output: Output,
  limiter: RateLimiter,
): Logger {
  const lines = pino(
    {
      base: {daemon: node},
      formatters: {level: label => ({level: label})},
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    output.stream,
  );
  const write = (event: LogEvent): void => lines.info(toLogRecord(event));
  return {
    write: event => {
      const admission = limiter.admit(readLogClass(event));
      if (admission.dropped > 0) {
        write({kind: 'linesDropped', count: admission.dropped});
      }
      if (admission.isAdmitted) {
        write(event);
      }
    },
    writeLast: async event => {
      // A full buffer would drop the line.
      await output.flush();
      write(event);
      const isWritten = await output.flush();
      if (!isWritten) {
        output.close();
      }
    },
    withNode: other => createNodeLogger(other, output, limiter),
  };
}

interface Output {
  readonly stream: DestinationStream;
  /** Returns whether the buffered lines were written before a timeout. */
  flush(): Promise<boolean>;
  close(): void;
}

function createOutput({destination}: LoggerOptions): Output {
  if (destination !== undefined) {
    return {
      stream: destination,
      flush: () => Promise.resolve(true),
      close: () => undefined,
    };
  }
  const stream = pino.destination({
    fd: STDOUT_FD,
    sync: false,
    minLength: FLUSH_THRESHOLD_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  // A log that cannot be written must not end the process.
  stream.on('error', () => undefined);
  const timer = setInterval(() => stream.flush(), FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    stream,
    // A slow or closed reader must not delay the exit of the process.
    flush: () =>
      new Promise(resolve => {
        setTimeout(() => resolve(false), FLUSH_TIMEOUT_MS);
        // An error says only that the output is no file, which can be synced.
        stream.flush(() => resolve(true));
      }),
    close: () => {
      clearInterval(timer);
      // Otherwise the exit writes the rest synchronously.
      stream.destroy();
    },
  };
}

interface Admission {
  readonly isAdmitted: boolean;
  /** Lines dropped before this second began and not reported yet. */
  readonly dropped: number;
}

interface RateLimiter {
  admit(logClass: LogClass): Admission;
}

/** Creates a limiter that restarts its counts every second. */
function createRateLimiter(readTime: () => number): RateLimiter {
  let currentSecond = Number.NEGATIVE_INFINITY;
  let dropped = 0;
  const counts = {standing: 0, outcome: 0, detail: 0};
  const limits = {
    standing: Number.POSITIVE_INFINITY,
    outcome: MAX_OUTCOME_LINES_PER_SECOND,
    detail: MAX_DETAIL_LINES_PER_SECOND,
  };
  return {
    admit: logClass => {
      const second = Math.floor(readTime() / MILLISECONDS_PER_SECOND);
      const isNewSecond = second !== currentSecond;
      const droppedBefore = isNewSecond ? dropped : 0;
      if (isNewSecond) {
        currentSecond = second;
        dropped = 0;
        counts.outcome = 0;
        counts.detail = 0;
      }
      counts[logClass] += 1;
      const isAdmitted = counts[logClass] <= limits[logClass];
      dropped += isAdmitted ? 0 : 1;
      return {isAdmitted, dropped: droppedBefore};
    },
  };
}
