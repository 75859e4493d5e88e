/** One measured figure with its unit and the bound it is held against. */
export interface BenchMetric {
  readonly value: number;
  readonly unit: string;
  /** For example `<= 3`; `null` when there is no bound. */
  readonly target: string | null;
}

/** What a bench measured; a figure that could not be taken is left out. */
export interface BenchOutput {
  readonly bench: string;
  readonly seed: number | null;
  readonly metrics: Readonly<Record<string, BenchMetric>>;
}

/** Prints a bench's figures as the last line of standard output. */
export function printBenchOutput(output: BenchOutput): void {
  console.log(JSON.stringify(output));
}

/** Creates a metric, with the value rounded to thousandths. */
export function createMetric(
  value: number,
  unit: string,
  target: string | null = null,
): BenchMetric {
  return {value: Math.round(value * 1_000) / 1_000, unit, target};
}
