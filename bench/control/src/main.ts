import {measureCommits} from './measureCommits.js';
import {measureIdle} from './measureIdle.js';
import {measureInForce} from './measureInForce.js';
import {measureLeaderChange} from './measureLeaderChange.js';
import {measureRestart} from './measureRestart.js';
import {createMetric} from './metric.js';
import type {Metrics} from './metric.js';

/** Number of entries in current deployments. */
const FEW_SUBSCRIBERS = 12;
const MANY_SUBSCRIBERS = 100;

interface Measurement {
  readonly name: string;
  measure(): Promise<Metrics>;
}

const MEASUREMENTS: readonly Measurement[] = [
  {name: 'commits at 3 members', measure: () => measureCommits(3)},
  {name: 'commits at 5 members', measure: () => measureCommits(5)},
  {name: 'new leader', measure: measureLeaderChange},
  {name: 'restart', measure: measureRestart},
  {name: 'idle', measure: measureIdle},
  {
    name: 'in force at 12',
    measure: async () => ({
      inForceP99: createMetric(
        await measureInForce(FEW_SUBSCRIBERS),
        's',
        '<= 2',
      ),
    }),
  },
  {
    name: 'in force at 100',
    measure: async () => ({
      inForceP99At100: createMetric(
        await measureInForce(MANY_SUBSCRIBERS),
        's',
        '<= 6',
      ),
    }),
  },
];

/** Runs every measurement; the metrics of one that fails are left out. */
async function runBench(): Promise<void> {
  let metrics: Metrics = {};
  for (const {name, measure} of MEASUREMENTS) {
    try {
      const measured = await measure();
      console.log(`${name}: ${JSON.stringify(measured)}`);
      metrics = {...metrics, ...measured};
    } catch (error) {
      console.log(`${name}: not measured: ${String(error)}`);
    }
  }
  console.log(JSON.stringify({bench: 'control', seed: null, metrics}));
}

await runBench();
