/** One measured value; the target is a condition such as `<= 2`. */
export interface Metric {
  readonly value: number;
  readonly unit: string;
  readonly target: string | null;
}

/** Measured values by name. */
export type Metrics = Readonly<Record<string, Metric>>;

const DIGITS = 3;

/** Creates a metric with its value rounded to three decimals. */
export function createMetric(
  value: number,
  unit: string,
  target: string | null = null,
): Metric {
  return {value: Number(value.toFixed(DIGITS)), unit, target};
}

/** Computes the quantile that the given fraction of values does not exceed. */
export function computeQuantile(
  values: readonly number[],
  fraction: number,
): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}
