import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';

const SAMPLES = 5;
const SAMPLE_INTERVAL_MS = 1_000;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Reads the resident set size of a process, in megabytes. */
export function readResidentMemory(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kilobytes) / KILOBYTES_PER_MEGABYTE;
}

/** Measures the median resident memory of idle processes, in megabytes. */
export async function measureIdleMemory(
  pids: readonly number[],
): Promise<readonly number[]> {
  const samples = pids.map((): number[] => []);
  for (let sample = 0; sample < SAMPLES; sample += 1) {
    await delay(SAMPLE_INTERVAL_MS);
    pids.forEach((pid, index) => samples[index]!.push(readResidentMemory(pid)));
  }
  return samples.map(computeMedian);
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}
