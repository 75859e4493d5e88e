import {formatTime} from './finding.js';
import type {Finding} from './finding.js';
import {hasUnplannedDisturbance, isInTouch} from './inTouch.js';
import type {RunTime, VmSignal} from './recordedEvent.js';
import {measureDelay} from './recorderDelay.js';
import {listEvents} from './listEvents.js';
import type {RequestHistory, RunHistory} from './runHistory.js';

/** Connections that a VM may close after it sent their request on. */
const MAX_CLOSED = 3;
/** Time after the grace time that still belongs to a SIGTERM. */
const AFTER_GRACE_MS = 1_000;
/** A request sent later after a SIGTERM should have gone to another VM. */
const LONG_REQUEST_MS = 3_000;
/** Part of the grace time at whose end long requests may be cut. */
const GRACE_FRACTION = 5 / 6;

interface CutRequest {
  readonly history: RequestHistory;
  readonly at: RunTime;
  readonly hasHead: boolean;
  readonly isReset: boolean;
  readonly detail: string;
}

/**
 * Checks that VMs in touch do not close kept connections without an answer after
 * they sent the request on to a sound endpoint.
 */
export function checkClosedWithoutAnswer(
  history: RunHistory,
): readonly Finding[] {
  const closed = listCuts(history).filter(
    cut =>
      !cut.hasHead &&
      cut.history.request.isKept &&
      cut.history.runs.length > 0 &&
      !isBrokenOff(cut.history) &&
      isInTouch(history, cut.history.request.vm, cut.history.sentAt) &&
      isInTouch(history, cut.history.request.vm, cut.at),
  );
  const last = closed[MAX_CLOSED];
  return last === undefined
    ? []
    : [
        {
          check: 'closedWithoutAnswer',
          at: last.at,
          detail: `${closed.length} connections were closed: ${closed.map(describeCut).join('; ')}`,
          excuse: null,
        },
      ];
}

/** Checks that planned work on a VM cuts no request. */
export function checkPlannedWork(history: RunHistory): readonly Finding[] {
  return listCuts(history).flatMap(cut => {
    const work = findPlannedWork(history, cut);
    if (work === undefined || !isRead(history, cut)) {
      return [];
    }
    return [
      {
        check: 'plannedWork',
        at: cut.at,
        detail: `${describeCut(cut)}, after ${work.signal} at ${formatTime(work.at)}`,
        excuse: findExcuse(history, cut, work),
      },
    ];
  });
}

interface PlannedWork {
  readonly signal: VmSignal;
  readonly at: RunTime;
}

/** Finds the signal to the VM in whose time the request was cut. */
function findPlannedWork(
  {events, bounds}: RunHistory,
  {history: {request, sentAt}, at}: CutRequest,
): PlannedWork | undefined {
  return listEvents(events, 'signalSent')
    .filter(event => {
      if (event.vm !== request.vm || event.at > at) {
        return false;
      }
      return event.signal === 'SIGTERM'
        ? at <= event.at + bounds.graceMs + AFTER_GRACE_MS
        : event.signal === 'SIGHUP' &&
            sentAt <= event.at + bounds.configApplyMs;
    })
    .at(-1);
}

/**
 * Whether the VM read the whole request: it sent it on, or it had the time and
 * its close left no bytes unread.
 */
function isRead(
  {bounds}: RunHistory,
  {history: {runs, writtenAt}, at, isReset}: CutRequest,
): boolean {
  const hadTime =
    writtenAt !== undefined && at > writtenAt + bounds.lossSlackMs;
  return runs.length > 0 || (hadTime && !isReset);
}

function findExcuse(
  history: RunHistory,
  cut: CutRequest,
  work: PlannedWork,
): string | null {
  const {contactMs, graceMs, lossSlackMs} = history.bounds;
  const {sentAt, writtenAt, runs, request} = cut.history;
  if (
    hasUnplannedDisturbance(history, {from: sentAt - contactMs, to: cut.at})
  ) {
    return 'unplanned disturbance';
  }
  if (isBrokenOff(cut.history)) {
    return 'the endpoint broke off';
  }
  if (cut.at >= sentAt + request.timeLeftMs) {
    return 'the time limit was reached';
  }
  const delayMs = measureDelay(history, cut.at);
  if (runs.length === 0 && cut.at <= (writtenAt ?? 0) + lossSlackMs + delayMs) {
    return `the recorder was ${delayMs} ms late`;
  }
  const isLong =
    work.signal === 'SIGTERM' &&
    sentAt <= work.at + LONG_REQUEST_MS &&
    runs.some(
      ({ended}) => (ended?.at ?? cut.at) >= work.at + graceMs * GRACE_FRACTION,
    );
  return isLong ? 'still at work in the last sixth of the grace time' : null;
}

function isBrokenOff({runs}: RequestHistory): boolean {
  return runs.some(({ended}) => ended?.end === 'brokenOff');
}

function listCuts({requests}: RunHistory): readonly CutRequest[] {
  return Array.from(requests.values()).flatMap(history => {
    const {ended} = history;
    return ended?.result.kind === 'cut'
      ? [{...ended.result, history, at: ended.at}]
      : [];
  });
}

function describeCut({history, at, detail}: CutRequest): string {
  const {request, sentAt, writtenAt, runs} = history;
  const written =
    writtenAt === undefined ? 'not written whole' : formatTime(writtenAt);
  const ran =
    runs.length === 0
      ? 'not run'
      : `run at ${runs.map(({endpoint}) => endpoint).join(' and ')}`;
  return `${request.attempt} (${request.kind}) to ${request.vm}, sent ${formatTime(sentAt)}, written ${written}, ${ran}, cut at ${formatTime(at)}: ${detail}`;
}
