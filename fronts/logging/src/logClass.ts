/** Decides which events are dropped when too many are logged. */
import {assertNever} from '@gentianshunt/errors';

import type {LogEvent} from './logEvent.js';

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
    case 'changeReceived':
    case 'changeEnded':
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
        event.decision.kind === 'leaveUnconfirmed' ||
        event.decision.kind === 'changeForwarded'
      ) {
        return 'outcome';
      }
      return event.decision.kind === 'requestDispatched' ||
        event.decision.kind === 'allotmentRefused' ||
        event.decision.kind === 'answerBroken' ||
        event.decision.kind === 'answerHeld' ||
        event.decision.kind === 'originNotFound' ||
        event.decision.kind === 'requestRelayed' ||
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
    case 'folderRead':
    case 'controlDecided':
    case 'acceptDelayed':
    case 'loopDelayed':
    case 'memoryHigh':
    case 'linesDropped':
      return 'standing';
    default:
      return assertNever(event, 'readLogClass');
  }
}
