import type {Clock, Milliseconds, MonotonicTime} from './clock.js';

/** An instant by both clocks. */
export interface Instant {
  readonly monotonic: MonotonicTime;
  readonly wall: Date;
}

/**
 * A lease of limited duration, by the clocks of its holder. It ends when the
 * first of the two clocks reaches its end: the monotonic clock of a suspended VM
 * stands still while the time of day goes on, and the time of day may be set
 * back. A time of day that is set forward ends a lease early, which is safe.
 */
export interface Lease {
  readonly until: MonotonicTime;
  readonly wallUntil: Date;
}

/** A lease that has ended by any clock. */
export const ENDED_LEASE: Lease = {
  until: Number.NEGATIVE_INFINITY,
  wallUntil: new Date(0),
};

/** Creates a lease that was granted for a duration from an instant on. */
export function createLease(since: Instant, durationMs: Milliseconds): Lease {
  return {
    until: since.monotonic + durationMs,
    wallUntil: new Date(since.wall.getTime() + durationMs),
  };
}

/** Returns whether a lease has not ended yet. */
export function isLeaseValid(lease: Lease, now: Instant): boolean {
  return measureLeaseOverrun(lease, now) < 0;
}

/** Measures the time since a lease ended; it is negative before. */
export function measureLeaseOverrun(lease: Lease, now: Instant): Milliseconds {
  return Math.max(
    now.monotonic - lease.until,
    now.wall.getTime() - lease.wallUntil.getTime(),
  );
}

/** Reads both clocks. */
export function readInstant(clock: Clock): Instant {
  return {monotonic: clock.readMonotonic(), wall: clock.readWallTime()};
}
