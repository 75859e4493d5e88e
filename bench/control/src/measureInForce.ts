import {setTimeout as delay} from 'node:timers/promises';

import type {BenchDeployment} from './benchDeployment.js';
import {createBenchDeployment} from './benchDeployment.js';
import {computeQuantile} from './metric.js';

const STEADY_CHANGES = 10;
const STEADY_INTERVAL_MS = 2_000;
const BURST_CHANGES = 500;
const LAST_CHANGES_WAIT_MS = 10_000;

/** Records when each subscriber received each version. */
interface ArrivalLog {
  /**
   * Finds when the last subscriber received a version or a newer one;
   * `undefined` if a subscriber has received neither.
   */
  findLastArrival(version: number): number | undefined;
  recordVersion(subscriber: number, version: number): void;
}

/** A version, and when it was received or its command answered. */
interface TimedVersion {
  readonly version: number;
  readonly atMs: number;
}

function createArrivalLog(subscribers: number): ArrivalLog {
  const arrivals = Array.from({length: subscribers}, (): TimedVersion[] => []);
  return {
    recordVersion: (subscriber, version) =>
      arrivals[subscriber]!.push({version, atMs: performance.now()}),
    findLastArrival: version => {
      const reached = arrivals.map(
        versions => versions.find(arrival => arrival.version >= version)?.atMs,
      );
      return reached.every(atMs => atMs !== undefined)
        ? Math.max(...reached)
        : undefined;
    },
  };
}

/**
 * Measures the seconds from the answer to a command until every subscriber has
 * its version, as the 99th percentile.
 */
export async function measureInForce(subscribers: number): Promise<number> {
  const bench = await createBenchDeployment(3);
  try {
    const log = createArrivalLog(subscribers);
    await Promise.all(
      Array.from({length: subscribers}, (_, index) =>
        bench.subscribe(`entry-${index}`, version =>
          log.recordVersion(index, version),
        ),
      ),
    );
    const accepted = await sendChanges(bench);
    await delay(LAST_CHANGES_WAIT_MS);
    const seconds = accepted.map(({version, atMs}) => {
      const last = log.findLastArrival(version) ?? Number.POSITIVE_INFINITY;
      return Math.max(0, last - atMs) / 1_000;
    });
    return computeQuantile(seconds, 0.99);
  } finally {
    await bench.stop();
  }
}

/**
 * Sends changes at a steady rate, with a burst in the middle. Returns their
 * versions and when they were answered.
 */
async function sendChanges(
  bench: BenchDeployment,
): Promise<readonly TimedVersion[]> {
  const sent: Promise<TimedVersion>[] = [];
  const send = async (): Promise<TimedVersion> => {
    const answer = await bench.sendCommand();
    const version = answer.kind === 'applied' ? answer.version : 0;
    return {version, atMs: performance.now()};
  };
  for (let change = 0; change < STEADY_CHANGES; change += 1) {
    sent.push(send());
    await delay(STEADY_INTERVAL_MS);
    if (change === STEADY_CHANGES / 2) {
      sent.push(...Array.from({length: BURST_CHANGES}, send));
    }
  }
  return Promise.all(sent);
}
