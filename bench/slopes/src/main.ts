#!/usr/bin/env node
import {createMetric, printBenchOutput} from '@gentianshunt/output';
import type {BenchMetric} from '@gentianshunt/output';

import {measureConfiguration} from './configurationCost.js';
import {measureControl} from './controlCost.js';
import {measureDemandReporting} from './demandReportingCost.js';
import type {DemandReportingLoad} from './demandReportingCost.js';
import {measureDocuments} from './documentCost.js';
import type {DocumentCost, DocumentLoad} from './documentCost.js';
import {measureFailover} from './failoverGap.js';

const SERVICE_MS = 9_000;
const DURATION_MS = 10_000;
/** Endpoint capacity for each request that runs on average. */
const CAPACITY_PER_RUNNING_REQUEST = 1.7;

type Metrics = Record<string, BenchMetric>;

function createLoad(
  requestsPerSecond: number,
  entries: number,
  endpoints: number,
  organisations: number,
): DemandReportingLoad {
  const running = (entries * requestsPerSecond * SERVICE_MS) / 1_000;
  return {
    entries,
    endpoints,
    concurrency: Math.ceil(
      (CAPACITY_PER_RUNNING_REQUEST * running) / endpoints,
    ),
    organisations,
    requestsPerSecond,
    serviceMs: SERVICE_MS,
    durationMs: DURATION_MS,
  };
}

const DEMAND_REPORTING_LOADS: readonly {
  readonly name: string;
  readonly load: DemandReportingLoad;
}[] = [
  ...[1, 10, 50, 133, 500].map(rate => ({
    name: `rate${rate}`,
    load: createLoad(rate, 1, 8, 5),
  })),
  ...[2, 8, 16].map(entries => ({
    name: `entries${entries}`,
    load: createLoad(67, entries, 80, 5),
  })),
  ...[20, 80, 160].map(endpoints => ({
    name: `endpoints${endpoints}`,
    load: createLoad(133, 4, endpoints, 5),
  })),
  ...[3, 10, 30].map(organisations => ({
    name: `organisations${organisations}`,
    load: createLoad(133, 4, 80, organisations),
  })),
];

const DOCUMENT_LOADS: readonly DocumentLoad[] = [
  ...[10, 60, 90, 145, 480, 3_900].map(kilobytes => ({
    kilobytes,
    changes: 100,
  })),
  ...[10, 60, 90, 145, 480].map(kilobytes => ({kilobytes, changes: 400})),
];

function measureDemandReportingLoads(): Metrics {
  const metrics: Metrics = {};
  for (const {name, load} of DEMAND_REPORTING_LOADS) {
    const cost = measureDemandReporting(load);
    console.log(`demand reporting ${name}: ${JSON.stringify({load, cost})}`);
    metrics[`${name}BytesPerSecond`] = createMetric(
      cost.bytesPerSecond,
      'B/s',
      name === 'rate133' ? '<= 2048' : null,
    );
    metrics[`${name}ReportsPerSecond`] = createMetric(
      cost.reportsPerSecond,
      '1/s',
    );
    metrics[`${name}MeanWait`] = createMetric(cost.meanWaitMs, 'ms');
    metrics[`${name}Processor`] = createMetric(cost.processorShare, 'cores');
  }
  return metrics;
}

function measureConfigurations(): Metrics {
  const metrics: Metrics = {};
  for (const organisations of [1_000, 10_000, 30_000]) {
    const cost = measureConfiguration(organisations);
    console.log(`configuration ${organisations}: ${JSON.stringify(cost)}`);
    const name = `configuration${organisations}`;
    metrics[`${name}Memory`] = createMetric(cost.memoryMb, 'MB');
    metrics[`${name}Bytes`] = createMetric(cost.bytes, 'B');
    metrics[`${name}Load`] = createMetric(cost.loadMs, 'ms');
    metrics[`${name}Change`] = createMetric(cost.changeMicroseconds, 'us');
  }
  return metrics;
}

async function measureControls(): Promise<Metrics> {
  const metrics: Metrics = {};
  for (const entries of [12, 50, 100, 200]) {
    const cost = await measureControl(entries);
    console.log(`control with ${entries} entries: ${JSON.stringify(cost)}`);
    const name = `control${entries}`;
    metrics[`${name}LeaderProcessor`] = createMetric(cost.leaderCores, 'cores');
    metrics[`${name}FollowerProcessor`] = createMetric(
      cost.followerCores,
      'cores',
    );
    metrics[`${name}LeaderRss`] = createMetric(cost.leaderMb, 'MB');
    metrics[`${name}FollowerRss`] = createMetric(cost.followerMb, 'MB');
    metrics[`${name}EntryBytesPerSecond`] = createMetric(
      cost.entryBytesPerSecond,
      'B/s',
      '<= 2048',
    );
  }
  return metrics;
}

async function measureDocumentLoads(): Promise<Metrics> {
  const metrics: Metrics = {};
  for (const load of DOCUMENT_LOADS) {
    const cost = await measureDocuments(load);
    console.log(`documents ${JSON.stringify({load, cost})}`);
    Object.assign(metrics, listDocumentMetrics(load, cost));
  }
  return metrics;
}

function listDocumentMetrics(
  {kilobytes, changes}: DocumentLoad,
  cost: DocumentCost,
): Metrics {
  const name = `documents${kilobytes}Kb${changes}`;
  const {acknowledged, medianAckMs, peakMb, folderMb, replaceMs, readMs} = cost;
  return {
    [`${name}Acknowledged`]: createMetric(acknowledged, 'changes'),
    [`${name}Ack`]: createMetric(medianAckMs, 'ms'),
    [`${name}Memory`]: createMetric(peakMb, 'MB', '<= 200'),
    [`${name}Folder`]: createMetric(folderMb, 'MB', '<= 64'),
    ...(replaceMs === undefined
      ? {}
      : {[`${name}Replace`]: createMetric(replaceMs, 'ms')}),
    ...(readMs === undefined
      ? {}
      : {[`${name}Read`]: createMetric(readMs, 'ms', '<= 6000')}),
  };
}

async function measureSetLeaderFailure(): Promise<Metrics> {
  const gap = await measureFailover();
  console.log(`set leader killed: ${JSON.stringify(gap)}`);
  return {
    leaderLossGap: createMetric(gap.gapMs, 'ms'),
    leaderLossFailed: createMetric(gap.failed, 'calls'),
  };
}

const isDocumentsOnly = process.argv.includes('--documents');

async function measureOthers(): Promise<Metrics> {
  return {
    ...measureDemandReportingLoads(),
    ...measureConfigurations(),
    ...(await measureControls()),
    ...(await measureSetLeaderFailure()),
  };
}

async function runBench(): Promise<void> {
  const metrics: Metrics = {
    ...(isDocumentsOnly ? {} : await measureOthers()),
    ...(await measureDocumentLoads()),
  };
  printBenchOutput({bench: 'slopes', seed: null, metrics});
}

await runBench();
