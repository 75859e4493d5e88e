/** Gauges of the configuration that an entry obeys. */
import type {BoardView} from '@gentianshunt/board';
import {measureLeaseOverrun, readInstant} from '@gentianshunt/clock';
import type {Clock} from '@gentianshunt/clock';
import {findObject, RELEASE_ID} from '@gentianshunt/configuration';
import type {EntrySections} from '@gentianshunt/entryModel';
import {Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

const MILLISECONDS_PER_SECOND = 1_000;
/** Release of an entry that has no configuration of an operator. */
const NO_RELEASE = -1;

/** An entry whose configuration is scraped. */
export interface ScrapedEntry {
  readonly view: BoardView<EntrySections>;
  readonly clock: Clock;
}

/** Adds the gauges of the configuration that an entry obeys. */
export function addConfigurationGauges(
  registry: Registry,
  {view, clock}: ScrapedEntry,
): void {
  const addGauge = (name: string, help: string, read: () => number): void => {
    const gauge: Gauge = new Gauge({
      name: `gentianshunt_${name}`,
      help,
      registers: [registry],
      collect: () => gauge.set(read()),
    });
  };
  addGauge(
    'configuration_version',
    'Version of the configuration that this entry obeys.',
    () => view.control.version,
  );
  addGauge(
    'release',
    "The operator's version of the configuration that this entry obeys; -1 if none.",
    () =>
      findObject(view.configuration, 'release', RELEASE_ID)?.version ??
      NO_RELEASE,
  );
  addGauge(
    'lease_remaining_seconds',
    'Time until the lease of this entry ends; negative after it, -Inf before the first.',
    () =>
      -measureLeaseOverrun(view.control.lease, readInstant(clock)) /
      MILLISECONDS_PER_SECOND,
  );
  addGauge(
    'unacknowledged_changes',
    'Changes of the whole configuration that wait for the control log.',
    () => view.replacements.size,
  );
}
