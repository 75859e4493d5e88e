import type {Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';

import {readNumber, readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/** How a request came to its end. */
export type FailureCause =
  | {readonly kind: 'answered'}
  /** The caller closed the connection. */
  | {readonly kind: 'abandoned'; readonly hadEndpoint: boolean}
  | {readonly kind: 'allotmentUsed'; readonly organisation: string | undefined}
  /** The entry held no lease, or no configuration yet. */
  | {readonly kind: 'noLease'}
  /** No place came before the caller was about to leave. */
  | {
      readonly kind: 'waitedTooLong';
      readonly waitedMs: Milliseconds;
      readonly decidedBy: string | undefined;
      /** Of its line in the entry, when it was given up. */
      readonly waitingHere: number | undefined;
      readonly runningHere: number | undefined;
    }
  /** Endpoints that had it failed it, and no other attempt answered it. */
  | {readonly kind: 'endpointFailed'; readonly endpoints: readonly string[]}
  /** It was still under way at the time limit of its route. */
  | {readonly kind: 'timeLimit'; readonly endpoints: readonly string[]}
  /** The configuration does not allow it, or it is malformed. */
  | {readonly kind: 'notAllowed'; readonly reason: string}
  /** The logs tell of it, but not of its end. */
  | {readonly kind: 'endNotLogged'; readonly endpoints: readonly string[]};

/** Tells the cause of a request's end from its own lines, oldest first. */
export function findCause(lines: readonly LogLine[]): FailureCause {
  const endpoints = listEndpoints(lines);
  const latest = [...lines].reverse();
  const last =
    latest.find(line => line.event === 'requestEnded') ??
    latest.find(line => line.event === 'requestRefused');
  if (last === undefined) {
    return {kind: 'endNotLogged', endpoints};
  }
  switch (readText(last, 'end')) {
    case 'answered':
    case 'repeated':
      return {kind: 'answered'};
    case 'abandonedWaiting':
      return {kind: 'abandoned', hadEndpoint: false};
    case 'abandonedRunning':
      return {kind: 'abandoned', hadEndpoint: true};
    default:
      return findRefusalCause(last, endpoints, lines);
  }
}

function findRefusalCause(
  line: LogLine,
  endpoints: readonly string[],
  lines: readonly LogLine[],
): FailureCause {
  const reason = readText(line, 'reason') ?? 'unknown';
  switch (reason) {
    case 'allotmentUsed':
      return {
        kind: 'allotmentUsed',
        organisation: readText(line, 'organisation'),
      };
    case 'noLease':
    case 'noConfiguration':
    case 'draining':
      return {kind: 'noLease'};
    case 'timeLimit':
      return {kind: 'timeLimit', endpoints};
    case 'shed':
    case 'organisationLimit':
      return endpoints.length > 0
        ? {kind: 'endpointFailed', endpoints}
        : findShedCause(line, lines);
    case 'endpointFailed':
    case 'answerCut':
    case 'outcomeUnknown':
      return {kind: 'endpointFailed', endpoints};
    default:
      return {kind: 'notAllowed', reason};
  }
}

function findShedCause(last: LogLine, lines: readonly LogLine[]): FailureCause {
  const shed = lines.find(({event}) => event === 'requestShed');
  return {
    kind: 'waitedTooLong',
    waitedMs: readNumber(last, 'totalMs') ?? 0,
    decidedBy: shed && readText(shed, 'decidedBy'),
    waitingHere: shed && readNumber(shed, 'waitingHere'),
    runningHere: shed && readNumber(shed, 'runningHere'),
  };
}

/** Lists the endpoints to which a request was dispatched. */
export function listEndpoints(lines: readonly LogLine[]): readonly string[] {
  const endpoints = lines
    .filter(({event}) => event === 'requestDispatched')
    .flatMap(line => readText(line, 'endpoint') ?? []);
  return [...new Set(endpoints)];
}

/** Says in a sentence what the cause was and where to look next. */
export function describeCause(cause: FailureCause): string {
  switch (cause.kind) {
    case 'answered':
      return 'answered whole; see firstTokenMs for a late answer';
    case 'abandoned':
      return cause.hadEndpoint
        ? 'the caller left while an endpoint was at work on it'
        : 'the caller left while it waited for a place';
    case 'allotmentUsed':
      return `organisation ${cause.organisation ?? '(not logged)'} had used its tokens`;
    case 'noLease':
      return 'the entry could not take requests: no lease, no configuration, or it was stopping';
    case 'waitedTooLong':
      return describeWait(cause);
    case 'endpointFailed':
      return `failed at ${describeEndpoints(cause.endpoints)}; no further attempt answered it`;
    case 'timeLimit':
      return `still under way at the time limit of its route, at ${describeEndpoints(cause.endpoints)}`;
    case 'notAllowed':
      return `refused as ${cause.reason}`;
    case 'endNotLogged':
      return `the logs hold no end of it, last at ${describeEndpoints(cause.endpoints)}: the entry was killed, or lines were dropped`;
    default:
      return assertNever(cause, 'describeCause');
  }
}

function describeWait(
  cause: Extract<FailureCause, {readonly kind: 'waitedTooLong'}>,
): string {
  const {waitedMs, decidedBy, waitingHere, runningHere} = cause;
  const wait = `no place came free in ${waitedMs} ms`;
  return decidedBy === undefined
    ? `${wait}: capacity was short, or the set had no leader`
    : `${wait}: given up by ${decidedBy}, with ${waitingHere ?? '?'} of its line waiting and ${runningHere ?? '?'} of its set running in the entry`;
}

function describeEndpoints(endpoints: readonly string[]): string {
  return endpoints.length === 0 ? 'no endpoint' : endpoints.join(', ');
}
