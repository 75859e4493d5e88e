/** Converts events to the fields of log lines. */
import type {ControlDecision} from '@gentianshunt/controlModel';
import type {
  EntryDecision,
  EntryEffect,
  Refusal,
} from '@gentianshunt/entryModel';
import {assertNever, SchedulerError} from '@gentianshunt/errors';

import {formatHeartbeat} from './formatHeartbeat.js';
import type {LogEvent} from './logEvent.js';

/** A value of a log line. */
export type LogValue =
  string | number | boolean | null | readonly string[] | readonly number[];

/** The fields of a log line, starting with the event's name. */
export type LogRecord = Readonly<Record<string, LogValue>>;

/** Converts an event to the fields of its log line. */
export function toLogRecord(event: LogEvent): LogRecord {
  switch (event.kind) {
    case 'daemonReady':
      return {
        event: event.kind,
        node: event.node,
        sinceStartMs: event.sinceStartMs,
      };
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
    case 'entryDecided':
      return toEntryRecord(event.decision);
    case 'controlDecided':
      return toControlRecord(event.decision);
    case 'loopDelayed':
      return {event: event.kind, ...toWholeNumbers({...event.load})};
    case 'memoryHigh':
      return {event: event.kind, ...event.use};
    case 'acceptDelayed':
    case 'changeReceived':
    case 'changeEnded':
    case 'folderRead':
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

function toEntryRecord(decision: EntryDecision): LogRecord {
  switch (decision.kind) {
    case 'endpointLimitNamed': {
      // Rates are often fractions.
      const {kind, ...fields} = decision;
      return {event: kind, ...fields};
    }
    case 'leaseLost':
    case 'leaseMissing': {
      const {kind, heartbeats, ...fields} = decision;
      return {
        event: kind,
        ...toWholeNumbers(fields),
        heartbeats: heartbeats.map(formatHeartbeat),
      };
    }
    default: {
      const {kind, ...fields} = decision;
      return {event: kind, ...toWholeNumbers(fields)};
    }
  }
}

function toControlRecord(decision: ControlDecision): LogRecord {
  switch (decision.kind) {
    case 'membersChanged': {
      const {kind, index, members} = decision;
      return {
        event: kind,
        index,
        members: members.map(({node, role}) => `${node}:${role}`),
      };
    }
    case 'copiesMissing': {
      const {kind, missing, ...fields} = decision;
      return {
        event: kind,
        ...fields,
        missing: missing.map(({node, missingMs}) =>
          formatDuration(node, missingMs),
        ),
      };
    }
    case 'joinWaiting': {
      const {kind, nodes, ...fields} = decision;
      return {
        event: kind,
        ...fields,
        nodes: nodes.map(({node, waitedMs}) => formatDuration(node, waitedMs)),
      };
    }
    default: {
      const {kind, ...fields} = decision;
      return {event: kind, ...toWholeNumbers(fields)};
    }
  }
}

function formatDuration(node: string, durationMs: number): string {
  return `${node}:${Math.round(durationMs)}`;
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
