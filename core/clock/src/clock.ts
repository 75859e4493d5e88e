/** A duration in milliseconds. */
export type Milliseconds = number;

/** An instant of a monotonic clock, in milliseconds since its origin. */
export type MonotonicTime = number;

/** Source of time, injected so that tests can control it. */
export interface Clock {
  /** Reads the time of day. */
  readWallTime(): Date;
  /** Reads the monotonic clock, which never goes backwards. */
  readMonotonic(): MonotonicTime;
}
