import type {Clock, Milliseconds} from '@gentianshunt/clock';

/** Interval at which the monitor samples the event loop. */
export const LOOP_SAMPLE_INTERVAL_MS: Milliseconds = 100;

/** Options of a loop monitor. */
export interface LoopMonitorOptions {
  readonly clock: Clock;
  /** Called with each sample. */
  readonly onSample?: (lagMs: Milliseconds) => void;
}

/** Measures how late the event loop of the process runs. */
export interface LoopMonitor {
  /**
   * Reads how long a received byte or a due timer may have waited for the event
   * loop.
   */
  readLag(): Milliseconds;
  /**
   * Runs an action once the data that has arrived is read, disconnects
   * included: at once unless the event loop is late.
   */
  runAfterReading(action: () => void): void;
  /**
   * Runs an action for data that was just read, once the disconnect that may
   * have arrived behind it is read too. New connections wait for the event loop
   * one turn each, so these may be old without the event loop being late.
   */
  runOnceRead(action: () => void): void;
  close(): void;
}

/** Lag above which arrived data may be unread for too long. */
const MAX_UNREAD_MS: Milliseconds = 100;
/**
 * Turns of the event loop until a disconnect is known: it may arrive during the
 * present turn, is read in the next one and reported at the end of that. One
 * that has already arrived is known a turn earlier.
 */
const TURNS_TO_READ = 3;

function runAfterTurns(turns: number, action: () => void): void {
  setImmediate(() => (turns > 1 ? runAfterTurns(turns - 1, action) : action()));
}

/**
 * Creates a monitor that samples the event loop by a timer. Data that arrived
 * during the latest turn of the loop is read in the next one, so the lag of the
 * latest sample counts until the next.
 */
export function createLoopMonitor({
  clock,
  onSample,
}: LoopMonitorOptions): LoopMonitor {
  let sampledAt = clock.readMonotonic();
  let sampledLagMs: Milliseconds = 0;
  const computeLag = (): Milliseconds =>
    Math.max(0, clock.readMonotonic() - sampledAt - LOOP_SAMPLE_INTERVAL_MS);
  const timer = setInterval(() => {
    sampledLagMs = computeLag();
    sampledAt = clock.readMonotonic();
    onSample?.(sampledLagMs);
  }, LOOP_SAMPLE_INTERVAL_MS);
  timer.unref();
  const readLag = (): Milliseconds => Math.max(sampledLagMs, computeLag());
  return {
    readLag,
    runAfterReading: action => {
      if (readLag() < MAX_UNREAD_MS) {
        action();
      } else {
        runAfterTurns(TURNS_TO_READ, action);
      }
    },
    runOnceRead: action => runAfterTurns(TURNS_TO_READ - 1, action),
    close: () => clearInterval(timer),
  };
}
