/** The faults that the bench can inject. */
export const FAULT_NAMES = [
  'none',
  'engineSlow',
  'burst',
  'leaderLost',
  'lateReports',
  'halfEngines',
] as const;

/** A fault that the bench can inject. */
export type FaultName = (typeof FAULT_NAMES)[number];

/** When a fault starts, in milliseconds of virtual time. */
export const FAULT_START_MS = 50_000;
/** How long `engineSlow` lasts. */
export const SLOWDOWN_DURATION_MS = 40_000;
/** Factor by which `engineSlow` lengthens all work of an engine. */
export const SLOWDOWN_FACTOR = 5;
/** Factor by which `burst` raises the arrival rate. */
export const FAULT_BURST_FACTOR = 4;
/** How long `burst` lasts. */
export const FAULT_BURST_DURATION_MS = 8_000;
/** Age of the load reports that a policy sees. */
export const LOAD_REPORT_LAG_MS = 1_000;
/** Age of the load reports that a policy sees under `lateReports`. */
export const LATE_LOAD_REPORT_LAG_MS = 10_000;

/** Returns whether a text is the name of a fault. */
export function isFaultName(text: string): text is FaultName {
  return (FAULT_NAMES as readonly string[]).includes(text);
}

/** Returns the age of load reports under a fault, in milliseconds. */
export function readLoadReportLag(fault: FaultName): number {
  return fault === 'lateReports' ? LATE_LOAD_REPORT_LAG_MS : LOAD_REPORT_LAG_MS;
}
