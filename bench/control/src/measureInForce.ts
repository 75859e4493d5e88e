import {setTimeout as delay} from 'node:timers/promises';

import type {BenchDeployment} from './benchDeployment.js';
import {createBenchDeployment} from './benchDeployment.js';
import {findQuantile} from './metric.js';

const STEADY_CHANGES = 10;
const STEADY_INTERVAL_MS = 2_000;
const BURST_CHANGES = 500;
const LAST_CHANGES_WAIT_MS = 10_000;

/** When each subscriber came to hold each version. */
interface Reach {
  /** Latest instant at which any subscriber reached a version, by version. */
  findLast(version: number): number | undefined;
  note(subscriber: number, version: number): void;
}

interface Step {
  readonly version: number;
  readonly atMs: number;
}

function createReach(subscribers: number): Reach {
  const steps = Array.from({length: subscribers}, (): Step[] => []);
  return {
    note: (subscriber, version) =>
      steps[subscriber]!.push({version, atMs: performance.now()}),
    findLast: version => {
      const reached = steps.map(
        list => list.find(step => step.version >= version)?.atMs,
      );
      return reached.every(atMs => atMs !== undefined)
        ? Math.max(...reached)
        : undefined;
    },
  };
}

/** Measures the seconds from accepted to in force at every subscriber. */
export async function measureInForce(subscribers: number): Promise<number> {
  const bench = await createBenchDeployment(3);
  try {
    const reach = createReach(subscribers);
    await Promise.all(
      Array.from({length: subscribers}, (_, index) =>
        bench.subscribe(`entry-${index}`, version =>
          reach.note(index, version),
        ),
      ),
    );
    const accepted = await sendChanges(bench);
    await delay(LAST_CHANGES_WAIT_MS);
    const seconds = accepted.map(({version, atMs}) => {
      const last = reach.findLast(version) ?? Number.POSITIVE_INFINITY;
      return Math.max(0, last - atMs) / 1_000;
    });
    return findQuantile(seconds, 0.99);
  } finally {
    await bench.stop();
  }
}

/** Sends steady changes, and a burst in the middle of them. */
async function sendChanges(bench: BenchDeployment): Promise<readonly Step[]> {
  const sent: Promise<Step>[] = [];
  const send = async (): Promise<Step> => {
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
