/** Finds requests that reached an endpoint after it had said that it leaves. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** A leave that an entry acknowledged to the endpoint. */
export interface AcknowledgedLeave {
  readonly endpoint: string;
  readonly entry: string;
  readonly at: MonotonicTime;
}

/** A request that reached an endpoint. */
export interface SentRequest {
  readonly endpoint: string;
  readonly entry: string;
  /** When the entry received it from its caller. */
  readonly receivedAt: MonotonicTime;
  readonly sentAt: MonotonicTime;
}

/** A time in which an entry was paused, stopped or cut off. */
export interface Disturbance {
  readonly entry: string;
  readonly from: MonotonicTime;
  readonly until: MonotonicTime;
}

/** What endpoints, callers and the schedule of faults show of a run. */
export interface LeaveRecord {
  readonly leaves: readonly AcknowledgedLeave[];
  readonly requests: readonly SentRequest[];
  readonly disturbances: readonly Disturbance[];
}

/** The promise: how late requests may be, and whom it binds. */
export interface LeaveBounds {
  /** How long an endpoint goes on after the acknowledgement. */
  readonly drainMs: Milliseconds;
  /** How long after a disturbance an entry is bound again. */
  readonly contactMs: Milliseconds;
}

/** Lists the requests that reached endpoints too late, in readable form. */
export function listLateRequests(
  {leaves, requests, disturbances}: LeaveRecord,
  {drainMs, contactMs}: LeaveBounds,
): readonly string[] {
  const isInTouch = (entry: string, at: MonotonicTime): boolean =>
    disturbances.every(
      disturbance =>
        disturbance.entry !== entry ||
        disturbance.from > at ||
        disturbance.until < at - contactMs,
    );
  const binding = leaves.filter(({entry, at}) => isInTouch(entry, at));
  return requests.flatMap(({endpoint, entry, receivedAt, sentAt}) =>
    binding
      .filter(
        leave =>
          leave.endpoint === endpoint &&
          sentAt > leave.at + drainMs &&
          isInTouch(entry, receivedAt) &&
          isInTouch(entry, sentAt),
      )
      .map(
        leave =>
          `${entry} sent to ${endpoint} at ${sentAt}, ${sentAt - leave.at} ms after ${leave.entry} acknowledged its leave`,
      ),
  );
}
