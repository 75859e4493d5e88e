import type {RunEnd, SiteRouteKind} from '@gentianshunt/platformWorker';

import type {
  ConfigurationContent,
  ProbeTarget,
} from './configurationContent.js';

/** Milliseconds since the start of the run. */
export type RunTime = number;

/** Signals that the supervisor of a VM sends. */
export type VmSignal = 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP';

/** Why a process was started. */
export type StartCause =
  | 'firstStart'
  /** The schedule had ended its predecessor. */
  | 'scheduled'
  /** Its predecessor had ended by itself. */
  | 'ownEnd'
  /** The VM takes the place of one that left for good. */
  | 'joined';

/** Faults of the links between two VMs. */
export type LinkFaultKind =
  /** Every chunk is held for a while, and the next ones wait behind it. */
  | 'delayed'
  /** Every chunk comes later; as many pass as usual. */
  | 'late'
  /** Few bytes a second pass. */
  | 'narrow'
  /** Open connections are reset, once. */
  | 'reset'
  /** Nothing passes in one direction. */
  | 'silentOneWay'
  /** Nothing passes. */
  | 'cut'
  /** Open connections stay silent for good; new ones work. */
  | 'stale';

/** How a process runs and stands still in turns. */
export interface DutyCycle {
  readonly runMs: number;
  readonly stopMs: number;
}

/** What hinders VMs while they return from a final fault. */
export type Hindrance =
  | {readonly kind: 'none'}
  /** All processes stand still in turns. */
  | {readonly kind: 'standStill'; readonly duty: DutyCycle}
  /** The links of one VM are slow. */
  | {readonly kind: 'slowLinks'; readonly vm: string};

/** The last fault of a run, right after an acknowledgement. */
export type FinalFault =
  /** All processes are killed; one VM of the core may lose its disk too. */
  | {
      readonly kind: 'allKilled';
      readonly lostDisk: string | null;
      readonly hindrance: Hindrance;
    }
  /** One VM of the core is killed and loses its disk. */
  | {readonly kind: 'diskLost'; readonly lostDisk: string};

/** The ways in which an endpoint says that it leaves. */
export type LeaveForm = 'draining' | 'withdrawal';

/** How an answer reached its caller. */
export type AnswerResult =
  | {
      readonly kind: 'whole';
      readonly status: number;
      /** What is wrong with a successful answer. */
      readonly defect: string | undefined;
    }
  /** The connection ended before the answer was complete. */
  | {
      readonly kind: 'cut';
      readonly hasHead: boolean;
      /** Whether it was reset, as systems do if unread bytes are left. */
      readonly isReset: boolean;
      readonly detail: string;
    }
  /** The caller closed its connection. */
  | {readonly kind: 'cancelled'; readonly cause: 'planned' | 'deadline'};

/** A request as its caller sent it. */
export interface SentRequest {
  readonly attempt: string;
  /** The VM that took the request. */
  readonly vm: string;
  readonly kind: SiteRouteKind;
  readonly timeLeftMs: number;
  /** Whether the connection had served requests before. */
  readonly isKept: boolean;
}

/** What an operator sends a configuration document for. */
export type OrderForm =
  /** A valid document with a new version, also if it is sent again. */
  | 'change'
  /** A version that was acknowledged before. */
  | 'repeat'
  /** Other content under a version that was acknowledged before. */
  | 'otherContent'
  /** A document that must be refused. */
  | 'invalid';

/** What callers, endpoints, operators and supervisors saw. */
export type RecordedEvent = {readonly at: RunTime} & (
  | {
      readonly kind: 'vmStarted';
      readonly vm: string;
      readonly cause: StartCause;
      readonly pid: number;
    }
  | {
      readonly kind: 'vmEnded';
      readonly vm: string;
      readonly pid: number;
      readonly result: string;
      /** Whether the supervisor had sent SIGTERM or SIGKILL. */
      readonly isAsked: boolean;
    }
  | {
      readonly kind: 'signalSent';
      readonly vm: string;
      readonly signal: VmSignal;
      readonly pid: number;
    }
  /** A VM left for good; another one, with an empty disk, takes its place. */
  | {readonly kind: 'vmReplaced'; readonly vm: string; readonly by: string}
  /** Not all VMs were ready so long after their first start. */
  | {readonly kind: 'deploymentNotReady'; readonly waitedMs: number}
  | {readonly kind: 'settingsWritten'; readonly vm: string}
  | {
      readonly kind: 'memoryMeasured';
      readonly vm: string;
      readonly pid: number;
      readonly peakBytes: number;
    }
  | {
      readonly kind: 'linkFaulted' | 'linkRestored';
      readonly from: string;
      readonly to: string;
      readonly fault: LinkFaultKind;
    }
  | {readonly kind: 'requestSent'; readonly request: SentRequest}
  /** The last byte of the request was handed to the system. */
  | {readonly kind: 'requestWritten'; readonly attempt: string}
  | {
      readonly kind: 'requestEnded';
      readonly attempt: string;
      readonly result: AnswerResult;
    }
  | {
      readonly kind: 'endpointStarted';
      readonly endpoint: string;
      readonly service: string;
    }
  | {readonly kind: 'endpointEnded'; readonly endpoint: string}
  | {
      readonly kind: 'arrived' | 'leavingSaid';
      readonly attempt: string;
      readonly endpoint: string;
    }
  | {
      readonly kind: 'turnedAway';
      readonly attempt: string;
      readonly endpoint: string;
      readonly status: number;
    }
  | {
      readonly kind: 'runStarted';
      readonly attempt: string;
      readonly endpoint: string;
      readonly isIntact: boolean;
      readonly plannedMs: number;
    }
  | {
      readonly kind: 'runEnded';
      readonly attempt: string;
      readonly endpoint: string;
      readonly end: RunEnd;
    }
  | {
      readonly kind: 'leaveSent' | 'leaveAcknowledged';
      readonly endpoint: string;
      readonly vm: string;
      readonly form: LeaveForm;
    }
  /** The endpoint sends no further leave, acknowledged or not. */
  | {readonly kind: 'leaveEnded'; readonly endpoint: string}
  | {
      readonly kind: 'lateHeartbeatSent';
      readonly endpoint: string;
      readonly vm: string;
    }
  | {
      readonly kind: 'orderSent';
      readonly form: OrderForm;
      readonly version: number;
      readonly vm: string;
      readonly content: ConfigurationContent;
      /** `null` if the document can't be read. */
      readonly digest: string | null;
      /** Number of routes of the document. */
      readonly routes: number;
    }
  | {
      readonly kind: 'orderAcknowledged';
      readonly form: OrderForm;
      readonly version: number;
      readonly vm: string;
    }
  | {
      readonly kind: 'orderRefused';
      readonly form: OrderForm;
      readonly version: number;
      readonly vm: string;
      readonly status: number;
    }
  | {
      readonly kind: 'configurationRead';
      readonly vm: string;
      readonly sentAt: RunTime;
      /** 0 if no answer came in time. */
      readonly status: number;
      /** `null` unless a document was read. */
      readonly version: number | null;
      readonly digest: string | null;
    }
  | {
      readonly kind: 'probeSent';
      readonly attempt: string;
      readonly vm: string;
      readonly target: ProbeTarget;
    }
  | {
      readonly kind: 'probeEnded';
      readonly attempt: string;
      /** 0 if no whole answer came. */
      readonly status: number;
    }
  | {
      readonly kind: 'dataFolderMeasured';
      readonly vm: string;
      readonly bytes: number;
    }
  | {readonly kind: 'diskLost'; readonly vm: string}
  /** The last fault of the run; the VMs that it ended start right after it. */
  | {readonly kind: 'finalFaultInjected'; readonly fault: FinalFault}
  /** The recording process was late by this time. */
  | {readonly kind: 'recorderDelayed'; readonly delayMs: number}
);
