import {setTimeout as delay} from 'node:timers/promises';

import {createBenchDeployment} from './benchDeployment.js';
import {createMetric} from './metric.js';
import type {Metrics} from './metric.js';
import {readProcessCost} from './processCost.js';

const SUBSCRIBERS = 12;
const SETTLE_MS = 3_000;
const MEASURE_MS = 20_000;

/** Measures what the busiest of three idle daemons sends and uses. */
export async function measureIdle(): Promise<Metrics> {
  const bench = await createBenchDeployment(3);
  try {
    await Promise.all(
      Array.from({length: SUBSCRIBERS}, (_, index) =>
        bench.subscribe(`entry-${index}`),
      ),
    );
    await delay(SETTLE_MS);
    const pids = bench.deployment.controls.map(
      control => control.process.child.pid!,
    );
    const before = pids.map(readProcessCost);
    await delay(MEASURE_MS);
    const after = pids.map(readProcessCost);
    const seconds = MEASURE_MS / 1_000;
    const bytes = after.map(
      (cost, index) => cost.writtenBytes - before[index]!.writtenBytes,
    );
    const cpu = after.map(
      (cost, index) => cost.cpuSeconds - before[index]!.cpuSeconds,
    );
    return {
      idleBytesPerSecond: createMetric(
        Math.max(...bytes) / seconds,
        'B/s',
        '<= 2048',
      ),
      idleCpuShare: createMetric(
        (100 * Math.max(...cpu)) / seconds,
        '%',
        '<= 1.3',
      ),
    };
  } finally {
    await bench.stop();
  }
}
