import type {CalendarMonth} from '@gentianshunt/messages';

/** A time window over which burn is reported. */
export type BurnWindow =
  | {
      readonly kind: 'sliding';
      readonly label: string;
      readonly durationMs: number;
    }
  | {readonly kind: 'month'; readonly month: CalendarMonth};

const MINUTE_MS = 60 * 1_000;
const HOUR_MS = 60 * MINUTE_MS;

/** The windows that end at the time of the report, shortest first. */
export const SLIDING_WINDOWS: readonly BurnWindow[] = [
  {kind: 'sliding', label: '5 min', durationMs: 5 * MINUTE_MS},
  {kind: 'sliding', label: '1 h', durationMs: HOUR_MS},
  {kind: 'sliding', label: '6 h', durationMs: 6 * HOUR_MS},
];

/** Formats the name of a window. */
export function formatWindow(window: BurnWindow): string {
  switch (window.kind) {
    case 'sliding':
      return window.label;
    case 'month':
      return window.month;
  }
}
