/** Amounts used over time, counted in slices so that a window can slide. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Length of a slice; a window is that much stricter than asked for. */
export const SLICE_MS: Milliseconds = 250;

/** What was used in a slice of time. */
export interface WindowSlice {
  /** Uses of the slice lie in the `SLICE_MS` before. */
  readonly endsAt: MonotonicTime;
  readonly amount: number;
}

/** Slices in the order of their times. */
export type WindowSlices = readonly WindowSlice[];

/** Adds a use, or takes one back with a negative amount. */
export function addToWindow(
  slices: WindowSlices,
  at: MonotonicTime,
  amount: number,
): WindowSlices {
  const endsAt = toSliceEnd(at);
  const known = slices.find(slice => slice.endsAt === endsAt);
  const changed = {endsAt, amount: Math.max(0, (known?.amount ?? 0) + amount)};
  return [
    ...slices.filter(slice => slice.endsAt < endsAt),
    ...(changed.amount > 0 ? [changed] : []),
    ...slices.filter(slice => slice.endsAt > endsAt),
  ];
}

/** Forgets the slices that lie before a window that begins at an instant. */
export function dropLapsed(
  slices: WindowSlices,
  since: MonotonicTime,
): WindowSlices {
  const isCurrent = slices.every(({endsAt}) => endsAt > since);
  return isCurrent ? slices : slices.filter(({endsAt}) => endsAt > since);
}

/** Adds up what was used in all slices. */
export function sumWindow(slices: WindowSlices): number {
  return slices.reduce((sum, {amount}) => sum + amount, 0);
}

/** Estimates in how long an amount will have left the window. */
export function estimateRelief(
  slices: WindowSlices,
  options: {
    readonly now: MonotonicTime;
    readonly windowMs: Milliseconds;
    readonly amount: number;
  },
): Milliseconds {
  let left = options.amount;
  for (const {endsAt, amount} of slices) {
    left -= amount;
    if (left <= 0) {
      return Math.max(0, endsAt + options.windowMs - options.now);
    }
  }
  return options.windowMs;
}

/** Joins the slices of several users of one window. */
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
