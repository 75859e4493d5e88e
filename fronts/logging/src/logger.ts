import {pino} from 'pino';
import type {DestinationStream} from 'pino';

import {readLogClass, toLogRecord} from './logEvent.js';
import type {LogClass, LogEvent} from './logEvent.js';

/** Lines of requests' ends and refusals written in a second. */
export const MAX_OUTCOMES_PER_SECOND = 1_000;
/** Lines of single steps of requests written in a second. */
export const MAX_DETAILS_PER_SECOND = 300;
/** Bytes that wait for a slow reader before lines are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** Bytes that are gathered before they are written. */
const MIN_WRITTEN_BYTES = 4_096;
/** Longest time for which lines are gathered, in milliseconds. */
const FLUSH_INTERVAL_MS = 250;
/** Longest wait for the last lines, in milliseconds. */
const MAX_FLUSH_MS = 100;
const STDOUT = 1;
const SECOND_MS = 1_000;

/** Writes events to the log. */
export interface Logger {
  write(event: LogEvent): void;
  /** Resolves once what was gathered is written, or after a short wait. */
  flush(): Promise<void>;
}

/** What a logger needs. */
export interface LoggerOptions {
  /** Names the daemon in each line. */
  readonly node: string;
  /** Standard output, unless a test takes the lines. */
  readonly destination?: DestinationStream;
  /** Milliseconds of any clock that does not go back. */
  readonly readTime?: () => number;
}

/** Creates a logger that writes JSON lines and never waits. */
export function createLogger(options: LoggerOptions): Logger {
  const output = createOutput(options);
  const lines = pino(
    {
      base: {daemon: options.node},
      formatters: {level: label => ({level: label})},
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    output.stream,
  );
  const limiter = createLimiter(options.readTime ?? (() => performance.now()));
  const write = (event: LogEvent): void => lines.info(toLogRecord(event));
  return {
    write: event => {
      const verdict = limiter.admit(readLogClass(event));
      if (verdict.dropped > 0) {
        write({kind: 'linesDropped', count: verdict.dropped});
      }
      if (verdict.isAdmitted) {
        write(event);
      }
    },
    flush: output.flush,
  };
}

interface Output {
  readonly stream: DestinationStream;
  flush(): Promise<void>;
}

function createOutput({destination}: LoggerOptions): Output {
  if (destination !== undefined) {
    return {stream: destination, flush: () => Promise.resolve()};
  }
  const stream = pino.destination({
    fd: STDOUT,
    sync: false,
    minLength: MIN_WRITTEN_BYTES,
    maxLength: MAX_WAITING_BYTES,
  });
  const timer = setInterval(() => stream.flush(), FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    stream,
    // A reader that is slow or gone must not hold up the end of a process.
    flush: () =>
      new Promise(resolve => {
        setTimeout(resolve, MAX_FLUSH_MS);
        stream.flush(() => resolve());
      }),
  };
}

interface Verdict {
  readonly isAdmitted: boolean;
  /** Lines dropped in the second that has just ended. */
  readonly dropped: number;
}

interface Limiter {
  admit(logClass: LogClass): Verdict;
}

/** Creates a limiter that counts anew in each second. */
function createLimiter(readTime: () => number): Limiter {
  let second = Number.NEGATIVE_INFINITY;
  let dropped = 0;
  const counts = {standing: 0, outcome: 0, detail: 0};
  const limits = {
    standing: Number.POSITIVE_INFINITY,
    outcome: MAX_OUTCOMES_PER_SECOND,
    detail: MAX_DETAILS_PER_SECOND,
  };
  return {
    admit: logClass => {
      const current = Math.floor(readTime() / SECOND_MS);
      const isNewSecond = current !== second;
      const reported = isNewSecond ? dropped : 0;
      if (isNewSecond) {
        second = current;
        dropped = 0;
        counts.outcome = 0;
        counts.detail = 0;
      }
      counts[logClass] += 1;
      const isAdmitted = counts[logClass] <= limits[logClass];
      dropped += isAdmitted ? 0 : 1;
      return {isAdmitted, dropped: reported};
    },
  };
}
