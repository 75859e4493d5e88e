/** Decides when the next demand report of an entry for a set is due. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {DemandReportingState} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {hashToFraction} from '@gentianshunt/hashing';

import type {ReportingView} from './demandReport.js';
import {isCapacityStale} from './staleCapacity.js';

/** Shortest time between two urgent demand reports for one set. */
export const MIN_REPORT_INTERVAL_MS: Milliseconds = 2;
/**
 * Time that each queue, running count and slot group in the latest demand
 * report adds to the interval between urgent ones.
 */
export const INTERVAL_PER_ITEM_MS: Milliseconds = 0.1;
/**
 * Shortest time between two lazy demand reports, which only correct the
 * leader's counts.
 */
export const LAZY_REPORT_INTERVAL_MS: Milliseconds = 25;
/**
 * Longest time between two demand reports while the entry has waiting or
 * running requests or unused slots in a set.
 */
export const MAX_REPORT_INTERVAL_MS: Milliseconds = 500;
/** An unanswered demand report counts as lost after this time at least. */
export const REPORT_TIMEOUT_MS: Milliseconds = 250;
/** Usual times from a report to its reply after which it counts as lost. */
const ROUND_TRIPS_UNTIL_LOST = 2;
/** Longest time between two demand reports while the leader does not answer. */
export const MAX_REPORT_TIMEOUT_MS: Milliseconds = 2_000;

/** Computes when the next report is due; `undefined` when none is needed. */
export function computeReportDelay(
  view: ReportingView,
  state: DemandReportingState,
  now: TurnTime,
): Milliseconds | undefined {
  const intervalMs = computeReportInterval(view, state, now);
  if (intervalMs === undefined) {
    return undefined;
  }
  const delayMs = Math.max(0, state.sentAt + intervalMs - now.monotonic);
  const isUrgent = state.urgency === 'urgent' || state.inFlight;
  return isUrgent || state.failures > 0
    ? delayMs
    : Math.max(delayMs, computeOpenDelay(view, state, now));
}

/**
 * Computes the delay of a report that is not urgent while a set is open: to a
 * time that does not depend on when requests arrive and end. A report of the
 * moment in which one has arrived would overstate what the entry runs.
 */
function computeOpenDelay(
  {board}: ReportingView,
  {set, changedAt}: DemandReportingState,
  now: TurnTime,
): Milliseconds {
  const open = board.openCapacities.get(set);
  if (open === undefined || open.until <= now.monotonic) {
    return 0;
  }
  const intervalMs = open.reportIntervalMs;
  const phase = hashToFraction(`${board.identity.address.node}/${set}`);
  const sinceTick = (changedAt + phase * intervalMs) % intervalMs;
  return changedAt + intervalMs - sinceTick - now.monotonic;
}

function computeReportInterval(
  view: ReportingView,
  state: DemandReportingState,
  now: TurnTime,
): Milliseconds | undefined {
  if (state.inFlight || state.failures > 0) {
    return computeReportTimeout(view, state);
  }
  switch (state.urgency) {
    case 'urgent':
      return Math.max(
        MIN_REPORT_INTERVAL_MS,
        state.items * INTERVAL_PER_ITEM_MS,
      );
    case 'lazy':
      return state.credit >= 1 || isCapacityStale(view.board, state, now)
        ? LAZY_REPORT_INTERVAL_MS
        : MAX_REPORT_INTERVAL_MS;
    case 'none':
      return state.items === 0 ? undefined : MAX_REPORT_INTERVAL_MS;
    default:
      return assertNever(state.urgency, 'computeReportInterval');
  }
}

/**
 * Computes how long to wait for a reply: longer where replies take long, since a
 * reply to any but the latest report is dropped. The timeout doubles with every
 * failure. After a failure it is jittered, so that the entries do not all
 * report at the same time.
 */
function computeReportTimeout(
  view: ReportingView,
  state: DemandReportingState,
): Milliseconds {
  const timeoutMs = Math.max(
    REPORT_TIMEOUT_MS,
    ROUND_TRIPS_UNTIL_LOST * state.roundTripMs,
  );
  const ceilingMs = Math.min(
    MAX_REPORT_TIMEOUT_MS,
    timeoutMs * 2 ** state.failures,
  );
  if (state.failures === 0) {
    return ceilingMs;
  }
  const {node} = view.board.identity.address;
  const fraction = hashToFraction(`${node}/${state.set}/${state.sequence}`);
  return ceilingMs * (0.5 + fraction / 2);
}
