import {formatTime} from './finding.js';
import type {Finding} from './finding.js';
import {isInTouch} from './inTouch.js';
import type {LeaveForm, RunTime} from './recordedEvent.js';
import {measureDelay} from './recorderDelay.js';
import {listEvents} from './listEvents.js';
import type {RequestHistory, RunHistory} from './runHistory.js';

interface Acknowledgement {
  readonly at: RunTime;
  readonly vm: string;
  readonly form: LeaveForm;
}

/**
 * Checks that no request reaches an endpoint later than the drain time after a
 * VM in touch acknowledged that the endpoint leaves.
 */
export function checkLeaves(history: RunHistory): readonly Finding[] {
  const acknowledged = collectAcknowledgements(history);
  return Array.from(history.requests.values()).flatMap(request =>
    request.arrivals.flatMap(({at, endpoint}) =>
      checkArrival(history, request, at, endpoint, acknowledged),
    ),
  );
}

/**
 * Checks that a VM sends an endpoint no request that its caller sent later than
 * the drain time after the VM passed on an answer that said the endpoint leaves.
 */
export function checkLeavingAnswers(history: RunHistory): readonly Finding[] {
  const passedOn = collectLeavingAnswers(history);
  const findings: Finding[] = [];
  for (const {request, sentAt, arrivals} of history.requests.values()) {
    for (const {at, endpoint} of arrivals) {
      const toldAt = passedOn.get(`${request.vm} ${endpoint}`);
      if (toldAt === undefined || sentAt - toldAt <= history.bounds.drainMs) {
        continue;
      }
      findings.push({
        check: 'leavingAnswers',
        at,
        detail: `${request.attempt} was sent to ${request.vm} ${sentAt - toldAt} ms after that VM passed on that ${endpoint} leaves, and reached it`,
        excuse: hasRestartOrFreeze(history, request.vm, toldAt, at)
          ? 'a restart or a freeze of the VM since then'
          : null,
      });
    }
  }
  return findings;
}

/** Counts the leaves that were acknowledged. */
export function countAcknowledgedLeaves(history: RunHistory): number {
  return collectAcknowledgements(history).size;
}

function checkArrival(
  history: RunHistory,
  request: RequestHistory,
  at: RunTime,
  endpoint: string,
  acknowledged: ReadonlyMap<string, readonly Acknowledgement[]>,
): readonly Finding[] {
  const {drainMs} = history.bounds;
  const late = (acknowledged.get(endpoint) ?? []).filter(
    acknowledgement => at - acknowledgement.at > drainMs,
  );
  if (late.length === 0) {
    return [];
  }
  const inTouch = late.find(({vm, at: toldAt}) =>
    isInTouch(history, vm, toldAt),
  );
  const told = inTouch ?? late[0]!;
  const {attempt, vm} = request.request;
  const lateMs = at - told.at;
  const detail =
    `${attempt} reached ${endpoint} ${lateMs} ms after ${told.vm} acknowledged ` +
    `its leave (${told.form}) at ${formatTime(told.at)}; taken by ${vm} at ${formatTime(request.sentAt)}`;
  const excuse =
    inTouch === undefined
      ? 'the VM that acknowledged was not in touch'
      : findExcuse(history, request, at, lateMs - drainMs);
  return [{check: 'leaves', at, detail, excuse}];
}

function findExcuse(
  history: RunHistory,
  {request: {vm}, sentAt}: RequestHistory,
  at: RunTime,
  excessMs: number,
): string | null {
  if (!isInTouch(history, vm, sentAt)) {
    return 'taken from the client by a VM that was not in touch';
  }
  if (!isInTouch(history, vm, at)) {
    return 'sent on by a VM that was not in touch';
  }
  const delayMs = measureDelay(history, at);
  return excessMs <= delayMs ? `the recorder was ${delayMs} ms late` : null;
}

function collectAcknowledgements({
  events,
}: RunHistory): ReadonlyMap<string, readonly Acknowledgement[]> {
  const byEndpoint = new Map<string, Acknowledgement[]>();
  for (const event of listEvents(events, 'leaveAcknowledged')) {
    const known = byEndpoint.get(event.endpoint) ?? [];
    known.push(event);
    byEndpoint.set(event.endpoint, known);
  }
  return byEndpoint;
}

/** First time at which a VM passed on that an endpoint leaves. */
function collectLeavingAnswers({
  events,
  requests,
}: RunHistory): ReadonlyMap<string, RunTime> {
  const times = new Map<string, RunTime>();
  for (const {attempt, endpoint} of listEvents(events, 'leavingSaid')) {
    const history = requests.get(attempt);
    const ended = history?.ended;
    if (history === undefined || ended?.result.kind !== 'whole') {
      continue;
    }
    const key = `${history.request.vm} ${endpoint}`;
    times.set(key, Math.min(times.get(key) ?? Infinity, ended.at));
  }
  return times;
}

function hasRestartOrFreeze(
  {vmSpans, events}: RunHistory,
  vm: string,
  from: RunTime,
  to: RunTime,
): boolean {
  return (
    vmSpans.some(
      span => span.vm === vm && span.from <= to && span.to >= from,
    ) ||
    listEvents(events, 'vmStarted').some(
      event => event.vm === vm && event.at >= from && event.at <= to,
    )
  );
}
