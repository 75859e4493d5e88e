import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {ReportedUse} from '@gentianshunt/entryModel';
import type {WindowSlices} from '@gentianshunt/limits';

/** Turns uses into what another process, with another clock, is told. */
export function toReportedUses(
  slices: WindowSlices,
  now: TurnTime,
): readonly ReportedUse[] {
  return slices.map(({endsAt, amount}) => ({
    ageMs: Math.max(0, Math.floor(now.monotonic - endsAt)),
    tokens: amount,
  }));
}

/** Reads how long a process has counted its uses. */
export function readCoveredMs(
  startedAt: MonotonicTime,
  now: TurnTime,
): Milliseconds {
  return Math.max(0, Math.floor(now.monotonic - startedAt));
}
