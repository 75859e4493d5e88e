import type {ControlDecision} from '@gentianshunt/controlModel';
import type {
  EntryDecision,
  EntryEffect,
  Refusal,
} from '@gentianshunt/entryModel';
import {assertNever, SchedulerError} from '@gentianshunt/errors';

/** The events that the daemons log. None contains request bodies or API keys. */
export type LogEvent =
  | {readonly kind: 'daemonReady'; readonly node: string}
  | {readonly kind: 'daemonStopping'; readonly cause: string}
  /** The last event of a process: why it ends. */
  | {
      readonly kind: 'daemonStopped';
      readonly exitCode: number;
      readonly cause: string;
      /** The error that made it end; `null` if a signal did. */
      readonly error: Error | null;
    }
  /** A step of the start failed and is tried again. */
  | {
      readonly kind: 'startRetried';
      readonly step: string;
      readonly peer: string;
      readonly waitedMs: number;
      readonly error: Error;
    }
  | {readonly kind: 'signalIgnored'; readonly signal: string}
  /** An error that makes the process drain and end. */
  | {readonly kind: 'faultDetected'; readonly error: Error}
  /** An error of one connection that nothing else handled. */
  | {readonly kind: 'connectionFailed'; readonly error: Error}
  /** The action that a controller decided on failed; the others go on. */
  | {readonly kind: 'effectFailed'; readonly error: Error}
  /** A controller of the control member failed; the member is restarted. */
  | {readonly kind: 'memberFailed'; readonly error: Error}
  | {readonly kind: 'peerLinkFailed'; readonly error: Error}
  | {readonly kind: 'diskFailed'; readonly error: Error}
  | {readonly kind: 'folderDiscarded'; readonly error: Error}
  | {
      readonly kind: 'settingsRead';
      readonly file: string;
      readonly isChanged: boolean;
      /** Whether a signal requested the reload. */
      readonly isAsked: boolean;
    }
  | {readonly kind: 'settingsRefused'; readonly error: Error}
  | {
      readonly kind: 'callRejected';
      readonly call: string;
      readonly detail: string;
    }
  | {readonly kind: 'requestRefused'; readonly refusal: Refusal}
  | {
      readonly kind: 'requestEnded';
      readonly end: Extract<EntryEffect, {readonly kind: 'recordEnd'}>;
    }
  | {readonly kind: 'entryDecided'; readonly decision: EntryDecision}
  | {readonly kind: 'controlDecided'; readonly decision: ControlDecision}
  /** The event loop was late; written once per report interval at most. */
  | {readonly kind: 'loopDelayed'; readonly load: DaemonLoad}
  /** Resident memory is near its limit; written at intervals while it is. */
  | {readonly kind: 'memoryHigh'; readonly use: MemoryUse}
  /** The first byte of a call leaves for an endpoint. */
  | ({readonly kind: 'callSent'} & SentCall)
  /** A dispatched call was not sent. */
  | ({readonly kind: 'callWithheld'; readonly cause: string} & SentCall)
  /** The front has read that a caller closed its connection. */
  | {
      readonly kind: 'callerDisconnected';
      readonly request: string;
      readonly ageMs: number;
    }
  /** An endpoint's answer did not end within its bounds. */
  | {readonly kind: 'answerUnbounded'; readonly error: Error}
  | {readonly kind: 'callFailed'; readonly error: Error}
  | {readonly kind: 'linesDropped'; readonly count: number};

/** What a daemon did while its event loop was late. */
export interface DaemonLoad {
  /** Longest delay of the event loop in the interval. */
  readonly maxLagMs: number;
  /** Bytes that wait to be sent to other daemons. */
  readonly queuedBytes: number;
  /** The same, on the fullest link. */
  readonly largestQueueBytes: number;
  /** Observations of the interval, as `kind:count`, most frequent first. */
  readonly observations: readonly string[];
}

/** Bytes that a daemon holds for others, by what they belong to. */
export interface BufferedBytes {
  /** Bodies of callers' requests that are received or kept for retries. */
  readonly requestBodyBytes: number;
  /** Answers that their callers have not read yet. */
  readonly answerBytes: number;
  /** Messages that wait to be sent to other daemons. */
  readonly peerLinkBytes: number;
}

/** What the memory of a daemon is used for, in bytes. */
export interface MemoryUse extends BufferedBytes {
  /** Memory that the daemon may use. */
  readonly limitBytes: number;
  readonly residentBytes: number;
  /** Memory used by objects of the runtime. */
  readonly heapBytes: number;
  /** Memory of buffers outside the runtime's heap, unused ones included. */
  readonly externalBytes: number;
}

/** A call at the moment at which it is sent to an endpoint. */
export interface SentCall {
  readonly request: string;
  readonly endpoint: string;
  /** Time since the call was read. */
  readonly ageMs: number;
  /** Time since the decision to dispatch it. */
  readonly sinceDispatchMs: number;
  /** Time until its deadline. */
  readonly timeLeftMs: number;
}

/** A value of a log line. */
export type LogValue =
  string | number | boolean | null | readonly string[] | readonly number[];

/** The fields of a log line, starting with the event's name. */
export type LogRecord = Readonly<Record<string, LogValue>>;

/** Decides which log lines are dropped when too many are written. */
export type LogClass =
  /** Never dropped. */
  | 'standing'
  /** How a request or call ended; limited per second. */
  | 'outcome'
  /** A single step of a request; fewer lines per second than outcomes. */
  | 'detail';

/** Returns the class of an event. */
export function readLogClass(event: LogEvent): LogClass {
  switch (event.kind) {
    case 'requestEnded':
    case 'requestRefused':
    case 'callRejected':
    case 'peerLinkFailed':
    case 'callWithheld':
    case 'answerUnbounded':
    case 'callFailed':
    case 'connectionFailed':
    case 'effectFailed':
      return 'outcome';
    case 'callSent':
    case 'callerDisconnected':
      return 'detail';
    case 'entryDecided':
      if (
        event.decision.kind === 'endpointLeaveLearnt' ||
        event.decision.kind === 'leaveUnconfirmed'
      ) {
        return 'outcome';
      }
      return event.decision.kind === 'requestDispatched' ||
        event.decision.kind === 'allotmentRefused' ||
        event.decision.kind === 'answerBroken' ||
        event.decision.kind === 'requestShed' ||
        event.decision.kind === 'requestRequeued'
        ? 'detail'
        : 'standing';
    case 'daemonReady':
    case 'daemonStopping':
    case 'daemonStopped':
    case 'startRetried':
    case 'signalIgnored':
    case 'faultDetected':
    case 'memberFailed':
    case 'diskFailed':
    case 'folderDiscarded':
    case 'settingsRead':
    case 'settingsRefused':
    case 'controlDecided':
    case 'loopDelayed':
    case 'memoryHigh':
    case 'linesDropped':
      return 'standing';
    default:
      return assertNever(event, 'readLogClass');
  }
}

/** Converts an event to the fields of its log line. */
export function toLogRecord(event: LogEvent): LogRecord {
  switch (event.kind) {
    case 'daemonReady':
      return {event: event.kind, node: event.node};
    case 'daemonStopping':
      return {event: event.kind, cause: event.cause};
    case 'daemonStopped':
      return {
        event: event.kind,
        exitCode: event.exitCode,
        cause: event.cause,
        ...(event.error === null ? {} : toErrorRecord(event.error)),
      };
    case 'startRetried': {
      const {kind, step, peer, waitedMs, error} = event;
      const waited = Math.round(waitedMs);
      return {
        event: kind,
        step,
        peer,
        waitedMs: waited,
        message: error.message,
      };
    }
    case 'signalIgnored':
      return {event: event.kind, signal: event.signal};
    case 'peerLinkFailed':
    case 'diskFailed':
    case 'folderDiscarded':
    case 'settingsRefused':
    case 'answerUnbounded':
    case 'callFailed':
    case 'connectionFailed':
      return {event: event.kind, ...toErrorRecord(event.error)};
    case 'faultDetected':
    case 'effectFailed':
    case 'memberFailed': {
      const {error} = event;
      return {
        event: event.kind,
        ...toErrorRecord(error),
        stack: findStack(error),
      };
    }
    case 'settingsRead': {
      const {file, isChanged, isAsked} = event;
      return {event: event.kind, file, isChanged, isAsked};
    }
    case 'callRejected':
      return {event: event.kind, call: event.call, detail: event.detail};
    case 'requestRefused':
      return {event: event.kind, ...toRefusalRecord(event.refusal)};
    case 'requestEnded':
      return {event: event.kind, ...toEndRecord(event.end)};
    case 'entryDecided': {
      const {kind, ...fields} = event.decision;
      // Rates are often fractions.
      return kind === 'endpointLimitNamed'
        ? {event: kind, ...fields}
        : {event: kind, ...toWholeNumbers(fields)};
    }
    case 'controlDecided':
      return toControlRecord(event.decision);
    case 'loopDelayed':
      return {event: event.kind, ...toWholeNumbers({...event.load})};
    case 'memoryHigh':
      return {event: event.kind, ...event.use};
    case 'callSent':
    case 'callWithheld':
    case 'callerDisconnected': {
      const {kind, ...fields} = event;
      return {event: kind, ...toWholeNumbers(fields)};
    }
    case 'linesDropped':
      return {event: event.kind, count: event.count};
    default:
      return assertNever(event, 'toLogRecord');
  }
}

function toErrorRecord(error: Error): LogRecord {
  if (!(error instanceof SchedulerError)) {
    return {message: error.message};
  }
  const {step, peer} = error.origin;
  const hint = error.hint === undefined ? {} : {hint: error.hint};
  return {code: error.code, step, peer, message: error.message, ...hint};
}

/** Finds where the first cause of an error was thrown. */
function findStack(error: Error): string | null {
  return error.cause instanceof Error
    ? findStack(error.cause)
    : (error.stack ?? null);
}

function toRefusalRecord(refusal: Refusal): LogRecord {
  const {request, reason, notRun, retryAfterMs} = refusal;
  return {
    request,
    reason: reason.kind,
    ...('detail' in reason ? {detail: reason.detail} : {}),
    notRun,
    retryAfterMs,
  };
}

function toEndRecord(
  effect: Extract<EntryEffect, {readonly kind: 'recordEnd'}>,
): LogRecord {
  const {request, waitedMs, firstTokenMs, end} = effect;
  const {id, organisation, tier, set, rank, routePolicy, tried} = request;
  return {
    request: id,
    organisation,
    tier,
    set,
    rank,
    ...(routePolicy === undefined ? {} : {route: routePolicy.route}),
    end: end.kind,
    ...(end.kind === 'refused' ? toRefusalRecord(end.refusal) : {}),
    ...(tried === undefined ? {} : {tried}),
    totalMs: Math.round(waitedMs),
    firstTokenMs: firstTokenMs === null ? null : Math.round(firstTokenMs),
  };
}

function toControlRecord(decision: ControlDecision): LogRecord {
  if (decision.kind !== 'membersChanged') {
    const {kind, ...fields} = decision;
    return {event: kind, ...toWholeNumbers(fields)};
  }
  const {kind, index, members} = decision;
  return {
    event: kind,
    index,
    members: members.map(({node, role}) => `${node}:${role}`),
  };
}

/** Rounds all numbers: times are logged in whole milliseconds. */
function toWholeNumbers(fields: LogRecord): LogRecord {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'number' ? Math.round(value) : value,
    ]),
  );
}
