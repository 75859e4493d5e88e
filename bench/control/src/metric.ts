/** One measured value. */
export interface Metric {
  readonly value: number;
  readonly unit: string;
  readonly target: string | null;
}

/** Measured values by name. */
export type Metrics = Readonly<Record<string, Metric>>;

const DIGITS = 3;

/** Creates a metric, rounded for reading. */
export function createMetric(
  value: number,
  unit: string,
  target: string | null = null,
): Metric {
  return {value: Number(value.toFixed(DIGITS)), unit, target};
}

/** Finds the value below which a share of the values lies. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}
