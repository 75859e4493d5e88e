import type {BoardView} from '@gentianshunt/board';
import {measureLog} from '@gentianshunt/controlModel';
import type {ControlSections} from '@gentianshunt/controlModel';
import {collectDefaultMetrics, Gauge, Registry} from 'prom-client';

import type {MetricsFormatter} from './metricsFormatter.js';

/** Options of the metrics of a control daemon. */
export interface ControlMetricsOptions {
  readonly view: BoardView<ControlSections>;
}

/** Creates the metrics of a control daemon; each scrape reads its board. */
export function createControlMetrics(
  options: ControlMetricsOptions,
): MetricsFormatter {
  const {view} = options;
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  const addGauge = (name: string, help: string, read: () => number): void => {
    const gauge: Gauge = new Gauge({
      name: `gentianshunt_control_${name}`,
      help,
      registers: [registry],
      collect: () => {
        gauge.set(read());
      },
    });
  };
  addGauge('term', 'Current term.', () => view.ballot.term);
  addGauge('leader', 'Whether this member leads: 1 or 0.', () =>
    view.role.kind === 'leader' ? 1 : 0,
  );
  addGauge(
    'commit_index',
    'Last committed index of the log.',
    () => view.logStatus.commitIndex,
  );
  addGauge(
    'synced_index',
    'Last index of the log that is on disk.',
    () => view.logStatus.syncedIndex,
  );
  addGauge(
    'log_bytes',
    'Size of the entries of the log.',
    () => measureLog(view).bytes,
  );
  addGauge(
    'log_since_snapshot_bytes',
    'Size of the applied entries that the latest snapshot lacks.',
    () => measureLog(view).sinceSnapshotBytes,
  );
  addGauge(
    'log_uncommitted_bytes',
    'Size of the entries that are not committed.',
    () => measureLog(view).uncommittedBytes,
  );
  addGauge(
    'log_unsynced_bytes',
    'Size of the entries that are not on disk.',
    () => measureLog(view).unsyncedBytes,
  );
  addGauge(
    'snapshot_bytes',
    'Size of the latest snapshot.',
    () => view.snapshotBytes,
  );
  addGauge(
    'configuration_version',
    'Version of the configuration applied here.',
    () => view.applied.version,
  );
  addGauge(
    'entry_sessions',
    'Entries that hold a lease from this member.',
    () => view.sessions.size,
  );
  addGauge('claims', 'Idempotency keys remembered.', () => view.claims.size);
  return {
    format: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
