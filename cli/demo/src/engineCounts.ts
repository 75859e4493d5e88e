import {request} from 'undici';

interface EngineCounts {
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
}

/** Prints how many of the prompt tokens that engines processed were wasted. */
export async function printWastedPrefill(
  engines: readonly string[],
): Promise<void> {
  const counts = await Promise.all(engines.map(readCounts));
  const prefill = sum(counts.map(count => count.prefillTokens));
  const wasted = sum(counts.map(count => count.wastedPrefillTokens));
  const percent = prefill === 0 ? 0 : (100 * wasted) / prefill;
  console.log(
    `wasted prefill: ${Math.round(wasted)} of ${Math.round(prefill)} tokens (${percent.toFixed(1)} %)`,
  );
}

async function readCounts(engine: string): Promise<EngineCounts> {
  const reply = await request(`${engine}/counts`);
  return (await reply.body.json()) as EngineCounts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
