import {setTimeout as delay} from 'node:timers/promises';

import {createBenchDeployment} from './benchDeployment.js';
import {createMetric} from './metric.js';
import type {Metrics} from './metric.js';
import {readProcessUsage} from './processUsage.js';

const SUBSCRIBERS = 12;
const WARM_UP_MS = 3_000;
const MEASUREMENT_MS = 20_000;

/**
 * Measures the bytes written and processor time of three daemons without
 * commands. Each metric is the highest value among the daemons.
 */
export async function measureIdle(): Promise<Metrics> {
  const bench = await createBenchDeployment(3);
  try {
    await Promise.all(
      Array.from({length: SUBSCRIBERS}, (_, index) =>
        bench.subscribe(`entry-${index}`),
      ),
    );
    await delay(WARM_UP_MS);
    const pids = bench.deployment.controls.map(
      control => control.process.child.pid!,
    );
    const before = pids.map(readProcessUsage);
    await delay(MEASUREMENT_MS);
    const after = pids.map(readProcessUsage);
    const seconds = MEASUREMENT_MS / 1_000;
    const bytes = after.map(
      (usage, index) => usage.writtenBytes - before[index]!.writtenBytes,
    );
    const cpu = after.map(
      (usage, index) => usage.cpuSeconds - before[index]!.cpuSeconds,
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
