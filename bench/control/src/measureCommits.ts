import {createBenchDeployment} from './benchDeployment.js';
import {computeQuantile, createMetric} from './metric.js';
import type {Metrics} from './metric.js';

const WARM_UP_COMMANDS = 500;
const COMMANDS = 5_000;
const COMMANDS_IN_FLIGHT = 128;
const SINGLE_COMMANDS = 300;

/**
 * Measures committed commands a second with many in flight, and the latency of
 * commands that are sent one at a time.
 */
export async function measureCommits(controls: number): Promise<Metrics> {
  const bench = await createBenchDeployment(controls);
  try {
    await bench.sendCommands(WARM_UP_COMMANDS, COMMANDS_IN_FLIGHT);
    const startedAt = performance.now();
    await bench.sendCommands(COMMANDS, COMMANDS_IN_FLIGHT);
    const seconds = (performance.now() - startedAt) / 1_000;
    const latencies: number[] = [];
    for (let count = 0; count < SINGLE_COMMANDS; count += 1) {
      const sentAt = performance.now();
      await bench.sendCommand();
      latencies.push(performance.now() - sentAt);
    }
    return {
      [`commitsPerSecond${controls}`]: createMetric(COMMANDS / seconds, '1/s'),
      [`commitLatencyMedian${controls}`]: createMetric(
        computeQuantile(latencies, 0.5),
        'ms',
      ),
      [`commitLatencyP99At${controls}`]: createMetric(
        computeQuantile(latencies, 0.99),
        'ms',
      ),
    };
  } finally {
    await bench.stop();
  }
}
