/** A duration in milliseconds. */
export type Milliseconds = number;

/** An instant of a monotonic clock, in milliseconds since its origin. */
export type MonotonicTime = number;

/** Source of time, passed to whatever needs it. */
export interface Clock {
  /** Reads the time of day. */
  readWallTime(): Date;
  /** Reads the monotonic clock; it never goes back. */
  readMonotonic(): MonotonicTime;
}
