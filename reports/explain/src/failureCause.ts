import type {Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';

import {readNumber, readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/** Why a request ended. */
export type FailureCause =
  | {readonly kind: 'answered'}
  /** The caller disconnected, before or after a dispatch. */
  | {readonly kind: 'abandoned'; readonly hadEndpoint: boolean}
  /** The organisation had used up its token quota. */
  | {readonly kind: 'allotmentUsed'; readonly organisation: string | undefined}
  /** No owner of the organisation's token quota answered. */
  | {readonly kind: 'quotaUndecided'}
  /** It took up a stream of which no entry knew what began it. */
  | {readonly kind: 'streamOriginUnknown'}
  /** A part of its prompt has ended several endpoints. */
  | {readonly kind: 'promptQuarantined'}
  | {readonly kind: 'requestQuarantined'}
  /** The entry had no lease or no configuration, or was draining. */
  | {readonly kind: 'noLease'}
  | {readonly kind: 'overloaded'}
  /** The entry had no memory for the request's body. */
  | {readonly kind: 'memoryFull'}
  /** Shed, because no capacity became free within the callers' patience. */
  | {
      readonly kind: 'waitedTooLong';
      readonly waitedMs: Milliseconds;
      /** The set leader, or the entry itself if the set had none. */
      readonly decidedBy: string | undefined;
      /** Requests of its queue that waited in the entry at that time. */
      readonly waitingHere: number | undefined;
      /** Requests of its endpoint set that ran in the entry at that time. */
      readonly runningHere: number | undefined;
    }
  /** Endpoints failed while running it, and no other attempt answered. */
  | {readonly kind: 'endpointFailed'; readonly endpoints: readonly string[]}
  /** It was still running at the time limit of its route. */
  | {readonly kind: 'timeLimit'; readonly endpoints: readonly string[]}
  /** The configuration does not allow the request, or it is malformed. */
  | {readonly kind: 'notAllowed'; readonly reason: string}
  /** The logs mention the request, but not its end. */
  | {readonly kind: 'endNotLogged'; readonly endpoints: readonly string[]};

/** Finds the cause of a request's end in its own lines, oldest first. */
export function findCause(lines: readonly LogLine[]): FailureCause {
  const endpoints = listEndpoints(lines);
  const newestFirst = [...lines].reverse();
  const last =
    newestFirst.find(line => line.event === 'requestEnded') ??
    newestFirst.find(line => line.event === 'requestRefused');
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
    case 'quotaUndecided':
      return {kind: 'quotaUndecided'};
    case 'streamOriginUnknown':
      return {kind: 'streamOriginUnknown'};
    case 'promptQuarantined':
      return {kind: 'promptQuarantined'};
    case 'requestQuarantined':
      return {kind: 'requestQuarantined'};
    case 'noLease':
    case 'noConfiguration':
    case 'draining':
      return {kind: 'noLease'};
    case 'overloaded':
      return {kind: 'overloaded'};
    case 'memoryFull':
      return {kind: 'memoryFull'};
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

/** Describes a cause in one sentence, with where to look next. */
export function describeCause(cause: FailureCause): string {
  switch (cause.kind) {
    case 'answered':
      return 'answered completely; see firstTokenMs for a late answer';
    case 'abandoned':
      return cause.hadEndpoint
        ? 'the caller disconnected while an endpoint ran the request'
        : 'the caller disconnected while the request waited for capacity';
    case 'allotmentUsed':
      return `organisation ${cause.organisation ?? '(not logged)'} had used up its token quota`;
    case 'quotaUndecided':
      return "no owner of the organisation's token quota answered; see 'setLeaderChanged' of the quota sets";
    case 'streamOriginUnknown':
      return 'no entry knew which software had begun the stream that it took up';
    case 'promptQuarantined':
      return "a part of its prompt has ended several endpoints; see 'quarantineChanged' and 'answerBroken'";
    case 'requestQuarantined':
      return "requests like it have ended several endpoints; see 'quarantineChanged' and 'answerBroken'";
    case 'noLease':
      return 'the entry could not take requests: no lease, no configuration, or it was stopping';
    case 'overloaded':
      return "the event loop of the entry was late; see its line 'loopDelayed'";
    case 'memoryFull':
      return "the entry had no memory for the body; see its line 'memoryHigh'";
    case 'waitedTooLong':
      return describeWait(cause);
    case 'endpointFailed':
      return `failed at ${describeEndpoints(cause.endpoints)}; no other attempt answered it`;
    case 'timeLimit':
      return `still running at the time limit of its route, at ${describeEndpoints(cause.endpoints)}`;
    case 'notAllowed':
      return `refused with reason ${cause.reason}`;
    case 'endNotLogged':
      return `the logs do not show how it ended (dispatched to ${describeEndpoints(cause.endpoints)}): the entry was killed, or log lines were dropped`;
    default:
      return assertNever(cause, 'describeCause');
  }
}

function describeWait(
  cause: Extract<FailureCause, {readonly kind: 'waitedTooLong'}>,
): string {
  const {waitedMs, decidedBy, waitingHere, runningHere} = cause;
  const wait = `no capacity became free in ${waitedMs} ms`;
  return decidedBy === undefined
    ? `${wait}: the endpoints were fully used, or the set had no leader`
    : `${wait}: shed by ${decidedBy}, with ${waitingHere ?? '?'} requests of its queue waiting and ${runningHere ?? '?'} of its set running in the entry`;
}

function describeEndpoints(endpoints: readonly string[]): string {
  return endpoints.length === 0 ? 'no endpoint' : endpoints.join(', ');
}
