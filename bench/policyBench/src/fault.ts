/** The faults the bench can cause. */
export const FAULT_NAMES = [
  'none',
  'engineSlow',
  'burst',
  'leaderLost',
  'lateReports',
  'halfEngines',
] as const;

/** A fault the bench can cause. */
export type FaultName = (typeof FAULT_NAMES)[number];

/** When a fault begins, in milliseconds of virtual time. */
export const FAULT_START_MS = 50_000;
/** How long a fault lasts. */
export const FAULT_DURATION_MS = 40_000;
/** How much slower a slowed engine gets. */
export const SLOWDOWN_FACTOR = 5;
/** How much the arrival rate rises in a burst. */
export const FAULT_BURST_FACTOR = 4;
/** Length of a burst. */
export const FAULT_BURST_DURATION_MS = 8_000;
/** Age of load reports as a rule. */
export const LOAD_REPORT_LAG_MS = 1_000;
/** Age of load reports while they are late. */
export const LATE_LOAD_REPORT_LAG_MS = 10_000;

/** Tells whether text names a fault. */
export function isFaultName(text: string): text is FaultName {
  return (FAULT_NAMES as readonly string[]).includes(text);
}

/** Tells the lag of load reports under a fault. */
export function readLoadReportLag(fault: FaultName): number {
  return fault === 'lateReports' ? LATE_LOAD_REPORT_LAG_MS : LOAD_REPORT_LAG_MS;
}
