import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';

import type {SoakSummary} from './summary.js';

/** Options that the runs of several seeds share. */
export interface SeedProcessOptions {
  /** Command line arguments besides the seed. */
  readonly args: readonly string[];
  readonly jobs: number;
}

/**
 * Runs each seed in a process of its own, some side by side, and prints what
 * they print; returns their summaries.
 */
export async function runSeedProcesses(
  seeds: readonly number[],
  {args, jobs}: SeedProcessOptions,
): Promise<readonly SoakSummary[]> {
  const left = [...seeds];
  const summaries: SoakSummary[] = [];
  const runNext = async (): Promise<void> => {
    for (let seed = left.shift(); seed !== undefined; seed = left.shift()) {
      summaries.push(await runSeedProcess(seed, args));
    }
  };
  await Promise.all(Array.from({length: jobs}, runNext));
  return summaries;
}

/** Runs one seed; its last line is the summary. */
async function runSeedProcess(
  seed: number,
  args: readonly string[],
): Promise<SoakSummary> {
  const child = spawn(
    process.execPath,
    [process.argv[1]!, '--seed', String(seed), ...args],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  let last = '';
  for await (const line of createInterface({input: child.stdout})) {
    if (last !== '') {
      console.log(last);
    }
    last = line;
  }
  return JSON.parse(last) as SoakSummary;
}
