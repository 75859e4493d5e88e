/** Gauges of what an entry holds and handles. */
import {Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

/** Reads what an entry holds and handles. */
export interface LoadReaders {
  /** Reads the bytes that wait to be sent to other daemons. */
  readonly readQueuedBytes: () => number;
  /** Reads the bytes held for others, by what they belong to. */
  readonly readBufferedBytes: () => Readonly<Record<string, number>>;
  /** Reads how many connections were closed because of a limit so far. */
  readonly readLimitedConnections: () => number;
  /** Reads the numbers of observations so far, by kind. */
  readonly readObservations: () => ReadonlyMap<string, number>;
}

/** Adds the gauges of what an entry holds and handles. */
export function addLoadGauges(registry: Registry, options: LoadReaders): void {
  const queuedBytes: Gauge = new Gauge({
    name: 'gentianshunt_link_queued_bytes',
    help: 'Bytes that wait to be sent to other daemons.',
    registers: [registry],
    collect: () => queuedBytes.set(options.readQueuedBytes()),
  });
  const bufferedBytes: Gauge = new Gauge({
    name: 'gentianshunt_buffered_bytes',
    help: 'Bytes held for callers and other daemons, by what they belong to.',
    labelNames: ['owner'],
    registers: [registry],
    collect: () =>
      Object.entries(options.readBufferedBytes()).forEach(([owner, bytes]) =>
        bufferedBytes.set({owner}, bytes),
      ),
  });
  const limitedConnections: Gauge = new Gauge({
    name: 'gentianshunt_limited_connections',
    help: 'Connections closed since the start because clients sent too much ahead.',
    registers: [registry],
    collect: () => limitedConnections.set(options.readLimitedConnections()),
  });
  const observations: Gauge = new Gauge({
    name: 'gentianshunt_observations',
    help: 'Observations handled since the start, by kind.',
    labelNames: ['kind'],
    registers: [registry],
    collect: () =>
      options
        .readObservations()
        .forEach((count, kind) => observations.set({kind}, count)),
  });
}
