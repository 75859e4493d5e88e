import type {Milliseconds} from '@gentianshunt/clock';
import type {
  CommandAnswer,
  ControlQuery,
  ControlQueryResult,
  ControlToEntry,
  ForceStatus,
  OperatorCommand,
  Replacement,
} from '@gentianshunt/messages';
import type {OrderResult} from '@gentianshunt/orders';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  NodeId,
  OperatorId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {EndpointAnnouncement} from './endpoint.js';
import type {OrderRun} from './endpointOrder.js';
import type {EntryMessage} from './exchange.js';
import type {
  AdmittedRequest,
  Refusal,
  RequestEnd,
  RequestFacts,
} from './request.js';

/** The timers of an entry; one of each name runs at a time. */
export type EntryTimer =
  | {readonly kind: 'heartbeat'}
  | {readonly kind: 'allotments'}
  | {readonly kind: 'exchange'}
  | {readonly kind: 'housekeeping'};

/** How a stream from an endpoint ended. */
export type StreamEnd =
  /** The end mark arrived and the caller got every byte. */
  | {readonly kind: 'complete'}
  /** The connection failed before a byte of the request was sent. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** The endpoint answered that it did not take the request. */
  | {readonly kind: 'rejected'; readonly status: number}
  /** The endpoint promised that the request has not run and will not. */
  | {readonly kind: 'notExecuted'; readonly detail: string}
  /** The endpoint ran the request and failed; the caller saw nothing. */
  | {readonly kind: 'failed'; readonly status: number}
  /** The stream ended without its end mark. */
  | {
      readonly kind: 'cut';
      readonly detail: string;
      /** Complete events that the caller has been sent. */
      readonly events: number;
    };

/** Everything that can happen to an entry. */
export type EntryObservation =
  | {readonly kind: 'started'}
  | {readonly kind: 'timerDue'; readonly timer: EntryTimer}
  | {readonly kind: 'requestReceived'; readonly facts: RequestFacts}
  | {readonly kind: 'callerGone'; readonly request: RequestId}
  /** The time limit of a request has passed. */
  | {readonly kind: 'timeLimitReached'; readonly request: RequestId}
  | {readonly kind: 'streamStarted'; readonly dispatch: DispatchId}
  /** Tells now and then that a stream still delivers. */
  | {readonly kind: 'streamProgress'; readonly dispatch: DispatchId}
  | {
      /** Tells, about twice a second, how far a stream has come. */
      readonly kind: 'tokensStreamed';
      readonly dispatch: DispatchId;
      readonly answerTokens: number;
    }
  | {
      readonly kind: 'streamEnded';
      readonly dispatch: DispatchId;
      readonly end: StreamEnd;
      /** The answer, kept for resends of non-idempotent requests. */
      readonly stored: StoredAnswer | null;
    }
  | {
      readonly kind: 'endpointContact';
      readonly announcement: EndpointAnnouncement;
    }
  | {
      /** An endpoint says that it is gone, or will be shortly. */
      readonly kind: 'endpointLeft';
      readonly endpoint: EndpointId;
    }
  | {
      readonly kind: 'entryMessage';
      readonly from: NodeId;
      readonly message: EntryMessage;
    }
  | {
      readonly kind: 'controlMessage';
      readonly from: NodeId;
      readonly message: ControlToEntry;
    }
  | {
      readonly kind: 'commandReceived';
      readonly correlation: RequestId;
      readonly operator: OperatorId;
      readonly command: OperatorCommand;
    }
  | {
      readonly kind: 'replacementReceived';
      readonly correlation: RequestId;
      readonly replacement: Replacement;
    }
  | {
      /** The settings name other nodes at which to look for control. */
      readonly kind: 'controlsLearnt';
      readonly nodes: readonly NodeId[];
    }
  | {
      /** Another entry takes this one for a control daemon. */
      readonly kind: 'controlInquiry';
      readonly from: NodeId;
    }
  | {
      /** An operator asks what only the leading control daemon knows. */
      readonly kind: 'queryReceived';
      readonly correlation: RequestId;
      readonly query: ControlQuery;
    }
  | {
      /** A caller was told of a refusal. */
      readonly kind: 'callerRefused';
      readonly refusal: Refusal;
    }
  | {
      /** An admitted request has left the board. */
      readonly kind: 'requestEnded';
      readonly request: AdmittedRequest;
      readonly end: RequestEnd;
      readonly firstTokenMs: Milliseconds | null;
    }
  | {
      /** An endpoint answered an order, or could not be asked. */
      readonly kind: 'endpointOrderEnded';
      readonly run: OrderRun;
      readonly result: OrderResult;
    }
  | {
      readonly kind: 'addressesRequested';
      readonly correlation: RequestId;
      readonly organisation: OrganisationId;
      readonly set: EndpointSetId;
    }
  | {readonly kind: 'shutdownRequested'};

/** An answer small enough to be kept. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** `null` when the body was too large to keep. */
  readonly body: Uint8Array | null;
}

/** What an operator is told about a command. */
export type CommandProgress =
  | {readonly kind: 'answered'; readonly answer: CommandAnswer}
  | {readonly kind: 'force'; readonly status: ForceStatus}
  /** The stored configuration has this version of the operator's. */
  | {readonly kind: 'replaced'; readonly version: number}
  /** Nothing was heard of the control log in time. */
  | {readonly kind: 'unanswered'}
  | {readonly kind: 'queried'; readonly result: ControlQueryResult};
