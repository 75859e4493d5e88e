/** How an entry's reporting to the leader of a set changes. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  DemandReportingState,
  DemandReportUrgency,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {MAX_REPORT_INTERVAL_MS} from './reportTimes.js';

/** Lazy demand reports that may be sent in a row at the shortest interval. */
export const MAX_REPORT_CREDIT = 8;

/** What happened to a set since the controller last ran. */
export interface ReportTrigger {
  readonly urgency: DemandReportUrgency;
  /** Whether the leader answered the latest demand report. */
  readonly replied: boolean;
  /** Slots that the answer grants. */
  readonly granted: number;
  /** Whether the answer says that the leader can grant nothing. */
  readonly obstructed: boolean;
  /** Whether it was refused: the receiver does not lead the set and epoch. */
  readonly refused: boolean;
}

/** Nothing happened. */
export const NO_TRIGGER: ReportTrigger = {
  urgency: 'none',
  replied: false,
  granted: 0,
  obstructed: false,
  refused: false,
};

/**
 * Returns the credit left after one more report. One credit is regained for
 * each longest report interval that has passed, which is as often as reports
 * are due without any change.
 */
export function spendCredit(
  state: DemandReportingState,
  now: TurnTime,
): number {
  const earned = (now.monotonic - state.sentAt) / MAX_REPORT_INTERVAL_MS;
  return Math.max(0, Math.min(MAX_REPORT_CREDIT, state.credit + earned) - 1);
}

/** Applies what happened to the state. */
export function applyTrigger(
  before: DemandReportingState,
  trigger: ReportTrigger,
  epoch: number,
  now: TurnTime,
): DemandReportingState {
  const urgency = pickUrgency(before.urgency, trigger.urgency);
  const isFirstChange = before.urgency === 'none' && urgency !== 'none';
  const changedAt = isFirstChange ? now.monotonic : before.changedAt;
  if (epoch !== before.epoch) {
    // A new leader knows neither the demand nor the slots of this entry.
    return {
      ...before,
      changedAt,
      epoch,
      inFlight: false,
      failures: 0,
      urgency: 'urgent',
      obstructedSince: null,
    };
  }
  if (trigger.replied) {
    const held = before.held + trigger.granted;
    const roundTripMs = before.inFlight
      ? learnRoundTrip(before, now)
      : before.roundTripMs;
    return {
      ...before,
      changedAt,
      urgency,
      held,
      roundTripMs,
      repliedAt: now.monotonic,
      obstructedSince: trigger.obstructed
        ? (before.obstructedSince ?? now.monotonic)
        : null,
      grantedAt: trigger.granted > 0 ? now.monotonic : before.grantedAt,
      inFlight: false,
      failures: 0,
    };
  }
  if (trigger.refused) {
    const failures = before.failures + 1;
    return {
      ...before,
      changedAt,
      urgency: 'urgent',
      inFlight: false,
      failures,
    };
  }
  return urgency === before.urgency ? before : {...before, changedAt, urgency};
}

/** Weight of a new sample in the time from a report to its reply. */
const ROUND_TRIP_WEIGHT = 0.25;

/** Adds the time to the first reply to the average. */
function learnRoundTrip(
  {roundTripMs, sentAt}: DemandReportingState,
  now: TurnTime,
): Milliseconds {
  const sample = now.monotonic - sentAt;
  return roundTripMs === 0
    ? sample
    : roundTripMs + ROUND_TRIP_WEIGHT * (sample - roundTripMs);
}

const URGENCIES: readonly DemandReportUrgency[] = ['none', 'lazy', 'urgent'];

function pickUrgency(
  left: DemandReportUrgency,
  right: DemandReportUrgency,
): DemandReportUrgency {
  return URGENCIES.indexOf(left) > URGENCIES.indexOf(right) ? left : right;
}

/**
 * The first sequence number is the wall clock time, so that it is higher than
 * the numbers that this entry used before a restart.
 */
export function createReportingState(
  set: EndpointSetId,
  now: TurnTime,
): DemandReportingState {
  return {
    set,
    sequence: now.wall.getTime(),
    epoch: 0,
    sentAt: Number.NEGATIVE_INFINITY,
    changedAt: Number.NEGATIVE_INFINITY,
    inFlight: false,
    urgency: 'none',
    failures: 0,
    credit: MAX_REPORT_CREDIT,
    items: 0,
    held: 0,
    roundTripMs: 0,
    repliedAt: null,
    obstructedSince: null,
    grantedAt: null,
  };
}
