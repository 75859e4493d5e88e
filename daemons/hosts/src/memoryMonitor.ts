/** Watches the memory of the process and reports when it is nearly used up. */
import type {Clock, Milliseconds} from '@gentianshunt/clock';
import type {BufferedBytes, MemoryUse} from '@gentianshunt/logging';

/** Interval at which the memory of the process is read. */
export const MEMORY_SAMPLE_INTERVAL_MS: Milliseconds = 500;
/** Shortest time between two reports while memory stays high. */
export const MEMORY_REPORT_INTERVAL_MS: Milliseconds = 5_000;
/** Fraction of the limit from which resident memory is reported. */
export const HIGH_MEMORY_FRACTION = 0.8;

/** Options of a memory monitor. */
export interface MemoryMonitorOptions {
  readonly clock: Clock;
  /** Memory that the process may use, in bytes. */
  readonly limitBytes: number;
  readonly readBufferedBytes: () => BufferedBytes;
  readonly onHigh: (use: MemoryUse) => void;
  /** Reads the memory of the process; replaced in tests. */
  readonly readProcessMemory?: () => ProcessMemory;
}

/** The parts of the memory of a process that are reported, in bytes. */
export type ProcessMemory = Pick<
  NodeJS.MemoryUsage,
  'rss' | 'heapUsed' | 'external'
>;

/** A running memory monitor. */
export interface MemoryMonitor {
  close(): void;
}

/** Starts to watch the memory of the process. */
export function createMemoryMonitor(
  options: MemoryMonitorOptions,
): MemoryMonitor {
  const {clock, limitBytes, onHigh} = options;
  const readProcessMemory = options.readProcessMemory ?? process.memoryUsage;
  let reportedAt = Number.NEGATIVE_INFINITY;
  const timer = setInterval(() => {
    const {rss, heapUsed, external} = readProcessMemory();
    const now = clock.readMonotonic();
    const isHigh = rss >= limitBytes * HIGH_MEMORY_FRACTION;
    if (isHigh && now - reportedAt >= MEMORY_REPORT_INTERVAL_MS) {
      reportedAt = now;
      onHigh({
        limitBytes,
        residentBytes: rss,
        heapBytes: heapUsed,
        externalBytes: external,
        ...options.readBufferedBytes(),
      });
    }
  }, MEMORY_SAMPLE_INTERVAL_MS);
  timer.unref();
  return {close: () => clearInterval(timer)};
}
