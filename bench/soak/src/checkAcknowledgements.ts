import type {Finding} from './finding.js';
import {isCoreStable, isInTouch} from './inTouch.js';
import type {RunTime} from './recordedEvent.js';
import {listEvents} from './listEvents.js';
import type {RunHistory} from './runHistory.js';

/** Fraction of the leaves that may have no acknowledgement in time. */
const MAX_UNACKNOWLEDGED_FRACTION = 0.2;
/** Fewer leaves say nothing of the fraction. */
const MIN_LEAVES = 5;
/** Interval at which the stretch of an order is examined. */
const STEP_MS = 100;
/** Time for an acknowledgement beyond the bound, for each route. */
const ACK_MS_PER_ROUTE = 3;

/** Checks that valid configurations and leaves are acknowledged in time. */
export function checkAcknowledgements(history: RunHistory): readonly Finding[] {
  return [...checkOrders(history), ...checkLeaveAnswers(history)];
}

function checkOrders(history: RunHistory): readonly Finding[] {
  const {events, bounds, configuration} = history;
  const refusals = listEvents(events, 'orderRefused')
    .filter(({form}) => form === 'change')
    .map(event => ({
      check: 'acknowledgements' as const,
      at: event.at,
      detail: `${event.vm} refused version ${event.version} with ${event.status}`,
      excuse: null,
    }));
  const late = configuration.versions.flatMap(order => {
    const {version, sentAt, acknowledgedAt = Infinity, routes} = order;
    const allowedMs = bounds.ackMs + routes * ACK_MS_PER_ROUTE;
    const due = sentAt + allowedMs;
    return acknowledgedAt > due && due <= readEnd(history)
      ? [
          {
            check: 'acknowledgements' as const,
            at: due,
            detail: `version ${version} has no acknowledgement after ${allowedMs} ms; the recorder was up to ${measureLongestDelay(history, sentAt, due)} ms late`,
            excuse: findExcuse(history, version, sentAt, due),
          },
        ]
      : [];
  });
  return [...refusals, ...late];
}

/** Measures by how much the recorder was late at most in a time. */
function measureLongestDelay(
  {delays}: RunHistory,
  from: RunTime,
  to: RunTime,
): number {
  return delays
    .filter(({at}) => at >= from && at <= to)
    .reduce((longest, {delayMs}) => Math.max(longest, delayMs), 0);
}

function findExcuse(
  history: RunHistory,
  version: number,
  sentAt: RunTime,
  due: RunTime,
): string | null {
  if (!isSteady(history, sentAt, due)) {
    return 'the core was not stable, or a link was disrupted';
  }
  const calls = listEvents(history.events, 'orderSent').filter(
    ({version: sent, form, at}) =>
      sent === version && form === 'change' && at < due,
  );
  return calls.some(({vm, at}) => isInTouch(history, vm, at))
    ? null
    : 'sent to no VM in touch';
}

function checkLeaveAnswers(history: RunHistory): readonly Finding[] {
  const {events, bounds} = history;
  const sent = new Map<string, RunTime>();
  const reached = new Set<string>();
  for (const {endpoint, vm, at} of listEvents(events, 'leaveSent')) {
    sent.set(endpoint, sent.get(endpoint) ?? at);
    if (isInTouch(history, vm, at)) {
      reached.add(endpoint);
    }
  }
  const acknowledged = new Map<string, RunTime>();
  for (const {endpoint, at} of listEvents(events, 'leaveAcknowledged')) {
    acknowledged.set(endpoint, acknowledged.get(endpoint) ?? at);
  }
  const steady = Array.from(sent).filter(
    ([endpoint, at]) =>
      reached.has(endpoint) &&
      at + bounds.ackMs <= readEnd(history) &&
      isSteady(history, at, at + bounds.ackMs),
  );
  const missing = steady.filter(
    ([endpoint, at]) =>
      (acknowledged.get(endpoint) ?? Infinity) > at + bounds.ackMs,
  );
  const first = missing[0];
  return first === undefined ||
    steady.length < MIN_LEAVES ||
    missing.length <= steady.length * MAX_UNACKNOWLEDGED_FRACTION
    ? []
    : [
        {
          check: 'acknowledgements',
          at: first[1],
          detail: `${missing.length} of ${steady.length} leaves in steady state have no acknowledgement: ${missing.map(([endpoint]) => endpoint).join(', ')}`,
          excuse: null,
        },
      ];
}

/** Whether the core was stable all the while and no link was disrupted. */
function isSteady(history: RunHistory, from: RunTime, to: RunTime): boolean {
  for (let at = from; at <= to; at += STEP_MS) {
    if (!isCoreStable(history, at)) {
      return false;
    }
  }
  return !history.linkSpans.some(({start, end}) => start <= to && end >= from);
}

function readEnd({events}: RunHistory): RunTime {
  return events[events.length - 1]?.at ?? 0;
}
