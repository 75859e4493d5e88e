import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {ReportedUsage} from '@gentianshunt/entryModel';
import type {WindowSlices} from '@gentianshunt/limits';

/** Converts times to ages, as processes do not share a monotonic clock. */
export function toReportedUsage(
  slices: WindowSlices,
  now: TurnTime,
): readonly ReportedUsage[] {
  return slices.map(({endsAt, amount}) => ({
    ageMs: Math.max(0, Math.floor(now.monotonic - endsAt)),
    tokens: amount,
  }));
}

/** Computes for how long a process has counted its usage. */
export function computeCoveredMs(
  startedAt: MonotonicTime,
  now: TurnTime,
): Milliseconds {
  return Math.max(0, Math.floor(now.monotonic - startedAt));
}
