#!/usr/bin/env node
import {createDeployment} from '@gentianshunt/deployment';
import type {Deployment} from '@gentianshunt/deployment';
import {createMetric, printBenchOutput} from '@gentianshunt/output';
import {ENDPOINT_SET} from '@gentianshunt/virtualEntry';

import {measureAddedLatency} from './addedLatency.js';
import {measureEventCost} from './eventCost.js';
import {measureIdleMemory} from './idleMemory.js';
import {awaitEndpoint, formatCommands, sendCommands} from './operator.js';

const CONTROLS = 3;
const ORGANISATIONS = 2;
const REQUESTS_PER_SECOND = 500;
const WARM_UP_MS = 5_000;
const DURATION_MS = 20_000;
const ENGINE_ARGS = [
  ...['--batch', '512'],
  ...['--step-ms', '2'],
  ...['--prefill-rate', '10000000'],
];
const FEW_LIVE = 100;
const MANY_LIVE = 10_000;

async function measureProcesses(deployment: Deployment) {
  const entry = deployment.entries[0]!;
  await sendCommands(entry.url, formatCommands(ORGANISATIONS));
  const [entrydIdleRss, controldIdleRss] = await measureIdleMemory([
    entry.process.child.pid!,
    deployment.controls[0]!.process.child.pid!,
  ]);
  await deployment.startEngine({
    endpoint: 'engine-0',
    set: ENDPOINT_SET,
    extra: ENGINE_ARGS,
  });
  // An identical engine in another endpoint set, so that only the direct
  // requests of the measurement reach it.
  const direct = await deployment.startEngine({
    endpoint: 'engine-1',
    set: 'direct',
    extra: ENGINE_ARGS,
  });
  await awaitEndpoint(entry.url);
  const latency = await measureAddedLatency({
    entry: entry.url,
    engine: direct.url,
    requestsPerSecond: REQUESTS_PER_SECOND,
    warmUpMs: WARM_UP_MS,
    durationMs: DURATION_MS,
  });
  return {
    latency,
    entrydIdleRss: entrydIdleRss!,
    controldIdleRss: controldIdleRss!,
  };
}

async function runBench(): Promise<void> {
  const few = measureEventCost(FEW_LIVE);
  const many = measureEventCost(MANY_LIVE);
  console.log(JSON.stringify({few, many}));
  const deployment = await createDeployment({controls: CONTROLS, entries: 1});
  try {
    const {latency, entrydIdleRss, controldIdleRss} =
      await measureProcesses(deployment);
    console.log(JSON.stringify(latency));
    const added = latency.through.p99 - latency.direct.p99;
    printBenchOutput({
      bench: 'entry',
      seed: null,
      metrics: {
        addedLatencyP99: createMetric(added, 'ms', '<= 3'),
        addedLatencyP50: createMetric(
          latency.through.p50 - latency.direct.p50,
          'ms',
        ),
        eventCostRatio: createMetric(
          many.microseconds / few.microseconds,
          'ratio',
          '<= 2',
        ),
        eventCostFewLive: createMetric(few.microseconds, 'us'),
        eventCostManyLive: createMetric(many.microseconds, 'us'),
        entrydIdleRss: createMetric(entrydIdleRss, 'MB'),
        controldIdleRss: createMetric(controldIdleRss, 'MB'),
      },
    });
  } finally {
    await deployment.stop();
  }
}

await runBench();
