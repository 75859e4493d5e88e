import {request} from 'undici';

import type {CallEnd, CallResult} from './load.js';

interface EngineCounts {
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
}

const ENDS: readonly CallEnd[] = ['answered', 'cancelled', 'refused', 'failed'];

/** Prints goodput by tier, refusals and wasted prefill. */
export async function printTable(
  results: readonly CallResult[],
  engines: readonly string[],
  entries: readonly string[],
): Promise<void> {
  console.log(['tier', ...ENDS, 'goodput'].map(pad).join(''));
  for (const tier of ['gold', 'silver', 'bronze']) {
    const own = results.filter(result => result.tier === tier);
    const counts = ENDS.map(
      end => own.filter(result => result.end === end).length,
    );
    const goodput = own
      .filter(result => result.end === 'answered')
      .reduce((sum, result) => sum + result.weight, 0);
    console.log([tier, ...counts, goodput].map(pad).join(''));
  }
  const counts = await Promise.all(engines.map(readCounts));
  const prefill = sum(counts.map(count => count.prefillTokens));
  const wasted = sum(counts.map(count => count.wastedPrefillTokens));
  const share = prefill === 0 ? 0 : (100 * wasted) / prefill;
  console.log(
    `wasted prefill: ${Math.round(wasted)} of ${Math.round(prefill)} tokens (${share.toFixed(1)} %)`,
  );
  const live = await Promise.all(entries.map(countLive));
  console.log(`requests left in the entries: ${sum(live)}`);
}

function pad(value: string | number): string {
  return String(value).padEnd(11);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

async function readCounts(engine: string): Promise<EngineCounts> {
  const reply = await request(`${engine}/counts`);
  return (await reply.body.json()) as EngineCounts;
}

async function countLive(entry: string): Promise<number> {
  const reply = await request(`${entry}/v1/operator/requests`);
  const requests = (await reply.body.json()) as readonly unknown[];
  return requests.length;
}
