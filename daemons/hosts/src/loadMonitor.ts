/**
 * Watches how far a daemon's event loop is behind, and reports what the daemon
 * received in that time.
 */
import type {Clock, Milliseconds} from '@gentianshunt/clock';
import type {DaemonLoad} from '@gentianshunt/logging';
import type {QueuedBytes} from '@gentianshunt/peerLinks';
import {createLoopMonitor} from '@gentianshunt/runtime';
import type {LoopMonitor} from '@gentianshunt/runtime';

import type {ObservationCounts} from './observationCounts.js';

/** Lag of the event loop from which it is reported. */
export const REPORTED_LAG_MS: Milliseconds = 100;
/** Shortest time between two reports. */
export const LOAD_REPORT_INTERVAL_MS: Milliseconds = 1_000;

/** Options of a load monitor. */
export interface LoadMonitorOptions {
  readonly clock: Clock;
  readonly counts: ObservationCounts;
  readonly readQueuedBytes: () => QueuedBytes;
  readonly onSample: (lagMs: Milliseconds) => void;
  readonly onDelayed: (load: DaemonLoad) => void;
}

/** Creates a loop monitor that reports the load while the loop is late. */
export function createLoadMonitor(options: LoadMonitorOptions): LoopMonitor {
  const {clock, counts} = options;
  let reportedAt = clock.readMonotonic();
  let maxLagMs: Milliseconds = 0;
  const reportLoad = (): void => {
    const {total, largest} = options.readQueuedBytes();
    const observations = counts.takeRecent();
    if (maxLagMs >= REPORTED_LAG_MS) {
      options.onDelayed({
        maxLagMs,
        queuedBytes: total,
        largestQueueBytes: largest,
        observations,
      });
    }
    maxLagMs = 0;
  };
  return createLoopMonitor({
    clock,
    onSample: lagMs => {
      options.onSample(lagMs);
      maxLagMs = Math.max(maxLagMs, lagMs);
      const now = clock.readMonotonic();
      if (now - reportedAt >= LOAD_REPORT_INTERVAL_MS) {
        reportedAt = now;
        reportLoad();
      }
    },
  });
}
