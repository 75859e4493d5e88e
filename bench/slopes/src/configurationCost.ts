import {encodeFrame} from '@gentianshunt/frames';
import {toIdentifier} from '@gentianshunt/identifiers';
import {
  createConfigurationObjects,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';

const NODE = 'entry-0';
const BYTES_PER_MEGABYTE = 1_048_576;
const CHANGES = 500;

/** What it costs an entry to store and to change a configuration. */
export interface ConfigurationCost {
  /** Size of the whole configuration as one message. */
  readonly bytes: number;
  /** Growth of the heap, in megabytes. */
  readonly memoryMb: number;
  readonly loadMs: number;
  /** Mean processor time of a change of one object. */
  readonly changeMicroseconds: number;
}

/** Loads a configuration into an entry and then changes objects one by one. */
export function measureConfiguration(organisations: number): ConfigurationCost {
  const heapBefore = readHeap();
  const objects = createConfigurationObjects({organisations, leader: NODE});
  const startedAt = performance.now();
  const entries = createVirtualEntries({nodes: [NODE], objects});
  entries.time.advance(1);
  const loadMs = performance.now() - startedAt;
  const memoryMb = (readHeap() - heapBefore) / BYTES_PER_MEGABYTE;
  const frame = encodeFrame(objects);
  const entry = entries.find(NODE);
  const before = process.cpuUsage();
  for (let change = 0; change < CHANGES; change += 1) {
    const object = objects[change % objects.length]!;
    entry.post({
      kind: 'controlMessage',
      from: toIdentifier('control-0'),
      message: {
        kind: 'configurationUpdate',
        sequence: null,
        incarnation: null,
        fromVersion: change + 1,
        version: change + 2,
        changes: [{kind: 'put', object}],
        directory: null,
        leaseMs: 0,
      },
    });
  }
  const used = process.cpuUsage(before);
  return {
    bytes: frame.length,
    memoryMb,
    loadMs,
    changeMicroseconds: (used.user + used.system) / CHANGES,
  };
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
