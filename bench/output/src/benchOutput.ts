/** A measured value with its unit and the bound that it has to meet. */
export interface BenchMetric {
  readonly value: number;
  readonly unit: string;
  /** For example `<= 3`; `null` if there is no bound. */
  readonly target: string | null;
}

/** The result of a bench; values that could not be measured are left out. */
export interface BenchOutput {
  readonly bench: string;
  readonly seed: number | null;
  readonly metrics: Readonly<Record<string, BenchMetric>>;
}

/** Prints a bench's result as JSON, the last line of standard output. */
export function printBenchOutput(output: BenchOutput): void {
  console.log(JSON.stringify(output));
}

/** Creates a metric with its value rounded to three decimal places. */
export function createMetric(
  value: number,
  unit: string,
  target: string | null = null,
): BenchMetric {
  return {value: Math.round(value * 1_000) / 1_000, unit, target};
}
