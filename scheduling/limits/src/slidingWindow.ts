/** Usage within a sliding window, counted per slice of time. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Length of a slice; usage leaves a window too late by up to this time. */
export const SLICE_MS: Milliseconds = 250;

/** The amount used in a slice of time. */
export interface WindowSlice {
  /** End of the slice, which is `SLICE_MS` long. */
  readonly endsAt: MonotonicTime;
  readonly amount: number;
}

/** Slices in ascending order of time. */
export type WindowSlices = readonly WindowSlice[];

/** Adds usage, or takes it back with a negative amount. */
export function addToWindow(
  slices: WindowSlices,
  at: MonotonicTime,
  amount: number,
): WindowSlices {
  const endsAt = toSliceEnd(at);
  const current = slices.find(slice => slice.endsAt === endsAt);
  const changed = {
    endsAt,
    amount: Math.max(0, (current?.amount ?? 0) + amount),
  };
  return [
    ...slices.filter(slice => slice.endsAt < endsAt),
    ...(changed.amount > 0 ? [changed] : []),
    ...slices.filter(slice => slice.endsAt > endsAt),
  ];
}

/** Removes the slices that ended by the start of a window. */
export function removeExpiredSlices(
  slices: WindowSlices,
  since: MonotonicTime,
): WindowSlices {
  const isCurrent = slices.every(({endsAt}) => endsAt > since);
  return isCurrent ? slices : slices.filter(({endsAt}) => endsAt > since);
}

/** Sums up the usage of all slices. */
export function sumWindow(slices: WindowSlices): number {
  return slices.reduce((sum, {amount}) => sum + amount, 0);
}

/** Estimates the time until an amount has left the window. */
export function estimateReleaseMs(
  slices: WindowSlices,
  options: {
    readonly now: MonotonicTime;
    readonly windowMs: Milliseconds;
    readonly amount: number;
  },
): Milliseconds {
  let remaining = options.amount;
  for (const {endsAt, amount} of slices) {
    remaining -= amount;
    if (remaining <= 0) {
      return Math.max(0, endsAt + options.windowMs - options.now);
    }
  }
  return options.windowMs;
}

/** Merges the slices of several users of one window. */
export function mergeSlices(all: Iterable<WindowSlices>): WindowSlices {
  const amounts = new Map<MonotonicTime, number>();
  for (const slices of all) {
    for (const {endsAt, amount} of slices) {
      amounts.set(endsAt, (amounts.get(endsAt) ?? 0) + amount);
    }
  }
  return [...amounts]
    .map(([endsAt, amount]) => ({endsAt, amount}))
    .sort((left, right) => left.endsAt - right.endsAt);
}

function toSliceEnd(at: MonotonicTime): MonotonicTime {
  return Math.ceil(at / SLICE_MS) * SLICE_MS;
}
