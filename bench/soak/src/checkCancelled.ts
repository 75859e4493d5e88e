import {isRepeatable, isStream} from '@gentianshunt/platformWorker';

import type {Finding} from './finding.js';
import {isInTouch} from './inTouch.js';
import type {RunTime} from './recordedEvent.js';
import {measureDelay} from './recorderDelay.js';
import type {RequestHistory, RunHistory} from './runHistory.js';

/** Time after a cancellation in which the endpoint should have stopped. */
const STOP_TIME_MS = 500;
/** Requests that may arrive later than that. */
const MAX_LATE_ARRIVALS = 3;
/** Fraction of the cancelled runs that may go on later than that. */
const MAX_RUNNING_FRACTION = 0.25;
/** Fewer cancelled runs say nothing of the fraction. */
const MIN_RUNS = 8;

interface Cancelled {
  readonly history: RequestHistory;
  /** Time by which the endpoint should have stopped. */
  readonly stopAt: RunTime;
}

/** Checks that requests of callers that have left are not sent on or run. */
export function checkCancelled(history: RunHistory): readonly Finding[] {
  const cancelled = listCancelled(history);
  return [
    ...checkLateArrivals(history, cancelled),
    ...checkStillRunning(history, cancelled.filter(isCountedRun)),
  ];
}

function checkLateArrivals(
  run: RunHistory,
  cancelled: readonly Cancelled[],
): readonly Finding[] {
  const late = cancelled.flatMap(({history, stopAt}) =>
    history.arrivals
      .filter(({at}) => at - measureDelay(run, at) > stopAt)
      .map(({at, endpoint}) => ({at, endpoint, request: history.request})),
  );
  const last = late[MAX_LATE_ARRIVALS];
  return last === undefined
    ? []
    : [
        {
          check: 'cancelled',
          at: last.at,
          detail: `${late.length} cancelled requests arrived late: ${late.map(({request, endpoint}) => `${request.attempt} from ${request.vm} at ${endpoint}`).join('; ')}`,
          excuse: null,
        },
      ];
}

function checkStillRunning(
  run: RunHistory,
  cancelled: readonly Cancelled[],
): readonly Finding[] {
  const lasting = cancelled.filter(({history, stopAt}) =>
    history.runs.some(
      ({startedAt, plannedMs}) =>
        startedAt <= stopAt && startedAt + plannedMs > stopAt,
    ),
  );
  const running = lasting.filter(({history, stopAt}) =>
    history.runs.some(
      ({startedAt, ended}) =>
        startedAt <= stopAt &&
        (ended === undefined ||
          ended.at - measureDelay(run, ended.at) > stopAt),
    ),
  );
  const first = running[0];
  return first === undefined ||
    lasting.length < MIN_RUNS ||
    running.length <= lasting.length * MAX_RUNNING_FRACTION
    ? []
    : [
        {
          check: 'cancelled',
          at: first.stopAt,
          detail: `${running.length} of ${lasting.length} cancelled requests still ran ${STOP_TIME_MS} ms later: ${running.map(({history: {request}}) => `${request.attempt} from ${request.vm}`).join('; ')}`,
          excuse: null,
        },
      ];
}

function listCancelled(history: RunHistory): readonly Cancelled[] {
  return Array.from(history.requests.values()).flatMap(request => {
    const {ended} = request;
    if (ended?.result.kind !== 'cancelled') {
      return [];
    }
    const stopAt = ended.at + STOP_TIME_MS;
    const {vm} = request.request;
    return isInTouch(history, vm, ended.at) && isInTouch(history, vm, stopAt)
      ? [{history: request, stopAt}]
      : [];
  });
}

function isCountedRun({history: {request}}: Cancelled): boolean {
  return isRepeatable(request.kind) || isStream(request.kind);
}
