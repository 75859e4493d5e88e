import {createBenchDeployment} from './benchDeployment.js';
import {createMetric} from './metric.js';
import type {Metrics} from './metric.js';

const KILLS = 8;

/** Measures the longest time from a kill of the leader to the next answer. */
export async function measureLeaderChange(): Promise<Metrics> {
  const bench = await createBenchDeployment(3);
  const seconds: number[] = [];
  try {
    for (let kill = 0; kill < KILLS; kill += 1) {
      await bench.sendCommand();
      const {leader} = bench.sender;
      const {controls} = bench.deployment;
      const control = controls.find(({node}) => node === leader)!;
      const killedAt = performance.now();
      await control.process.stop('SIGKILL');
      await bench.sendCommand();
      seconds.push((performance.now() - killedAt) / 1_000);
      await bench.deployment.restartControl(control.node);
    }
  } finally {
    await bench.stop();
  }
  return {newLeaderMax: createMetric(Math.max(...seconds), 's', '<= 2')};
}
