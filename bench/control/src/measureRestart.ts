import type {BenchDeployment} from './benchDeployment.js';
import {createBenchDeployment} from './benchDeployment.js';
import {createMetric} from './metric.js';
import type {Metrics} from './metric.js';

const MISSED_CHANGES = [500, 5_000] as const;
const COMMANDS_IN_FLIGHT = 128;
const RESTART_TARGET = '<= 3';

/**
 * Measures how long a restarted follower takes to catch up. The other follower
 * is suspended right after the restart, so that a command is committed and
 * answered only when the restarted follower has all changes that it missed.
 */
export async function measureRestart(): Promise<Metrics> {
  const bench = await createBenchDeployment(3);
  const metrics: Record<string, Metrics[string]> = {};
  try {
    for (const changes of MISSED_CHANGES) {
      const seconds = await measureCatchUp(bench, changes);
      metrics[`restartAfter${changes}`] = createMetric(
        seconds,
        's',
        RESTART_TARGET,
      );
    }
  } finally {
    await bench.stop();
  }
  return metrics;
}

async function measureCatchUp(
  bench: BenchDeployment,
  changes: number,
): Promise<number> {
  await bench.sendCommand();
  const {deployment, sender} = bench;
  const [restarted, other] = deployment.controls.filter(
    ({node}) => node !== sender.leader,
  );
  await restarted!.process.stop('SIGKILL');
  await bench.sendCommands(changes, COMMANDS_IN_FLIGHT);
  const startedAt = performance.now();
  await deployment.restartControl(restarted!.node);
  other!.process.child.kill('SIGSTOP');
  await bench.sendCommand();
  const seconds = (performance.now() - startedAt) / 1_000;
  other!.process.child.kill('SIGCONT');
  return seconds;
}
