/** The events that the daemons log. */
import type {ControlDecision} from '@gentianshunt/controlModel';
import type {
  EntryDecision,
  EntryEffect,
  Refusal,
} from '@gentianshunt/entryModel';

/** The events that the daemons log. None contains request bodies or API keys. */
export type LogEvent =
  | {
      readonly kind: 'daemonReady';
      readonly node: string;
      /** Time since the process started. */
      readonly sinceStartMs: number;
    }
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
  /** An operator sent a configuration that can be read. */
  | {
      readonly kind: 'changeReceived';
      /** The operator's version. */
      readonly release: number;
      readonly bytes: number;
    }
  | ({readonly kind: 'changeEnded'} & EndedChange)
  | ({readonly kind: 'folderRead'} & FolderRead)
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
  /** Callers' connections wait long to be accepted; at most twice a second. */
  | ({readonly kind: 'acceptDelayed'} & DelayedAcceptance)
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

/** How long connections wait to be accepted, and how many may. */
export interface DelayedAcceptance {
  readonly waitMs: number;
  /** The length of their queue before and now. */
  readonly lengthBefore: number;
  readonly length: number;
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

/** How an operator's change of the whole configuration ended. */
export interface EndedChange {
  /** `null` if the configuration could not be read. */
  readonly release: number | null;
  readonly bytes: number;
  readonly outcome: ChangeOutcome;
  /** Why it was refused; `null` if it was not. */
  readonly detail: string | null;
  readonly durationMs: number;
}

/** How a change ended for the operator. */
export type ChangeOutcome =
  | 'acknowledged'
  /** It is invalid. */
  | 'refused'
  /** The control log did not answer in time; it may be in force later. */
  | 'unanswered';

/** What a control member read of its data folder at a start. */
export interface FolderRead {
  readonly snapshotBytes: number;
  readonly logBytes: number;
  /** Entries of the log. */
  readonly entries: number;
  readonly durationMs: number;
}

/** A call at the moment at which it is sent to an endpoint. */
export interface SentCall {
  readonly request: string;
  readonly endpoint: string;
  /** The software of the endpoint; `null` if it names none. */
  readonly software: string | null;
  /** The attempt whose stream it takes up; `null` if it takes up none. */
  readonly resumes: string | null;
  /** Time since the call was read. */
  readonly ageMs: number;
  /** Time since the decision to dispatch it. */
  readonly sinceDispatchMs: number;
  /** Time until its deadline. */
  readonly timeLeftMs: number;
}
