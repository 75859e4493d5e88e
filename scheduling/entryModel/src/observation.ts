import type {Milliseconds} from '@gentianshunt/clock';
import type {
  CommandAnswer,
  ConfigurationReplacement,
  ControlQuery,
  ControlQueryResult,
  ControlToEntry,
  InForceStatus,
  OperatorCommand,
} from '@gentianshunt/messages';
import type {OrderResult} from '@gentianshunt/orders';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  NodeId,
  OperatorId,
  OrganisationId,
  RelayId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {EndpointAnnouncement} from './endpoint.js';
import type {EndpointSignals} from './endpointSignals.js';
import type {OrderExecution} from './endpointOrder.js';
import type {EntryMessage} from './entryMessage.js';
import type {ReportedLeave} from './leaveRecord.js';
import type {RelayEnd} from './relay.js';
import type {
  AdmittedRequest,
  Dispatch,
  Refusal,
  RequestAttributes,
  RequestEnd,
} from './request.js';
import type {StreamEnd} from './streamEnd.js';

/** The timers of an entry; there is one of each kind. */
export type EntryTimer =
  | {readonly kind: 'heartbeat'}
  | {readonly kind: 'quotaRequests'}
  | {readonly kind: 'demandReporting'}
  /** An allocation of a led set is due. */
  | {readonly kind: 'allocation'}
  /** Other entries have not answered questions about leaves. */
  | {readonly kind: 'withdrawalExchange'}
  /** Origins of streams are to be reported, or inquiries to end. */
  | {readonly kind: 'streamOrigins'}
  | {readonly kind: 'housekeeping'};

/** The events that an entry's controllers react to. */
export type EntryObservation =
  | {readonly kind: 'started'}
  | {
      /** The leaves that were on the disk of this VM. */
      readonly kind: 'leavesRestored';
      readonly leaves: readonly ReportedLeave[];
    }
  | {readonly kind: 'timerDue'; readonly timer: EntryTimer}
  | {readonly kind: 'requestReceived'; readonly attributes: RequestAttributes}
  /** The caller has disconnected. */
  | {readonly kind: 'callerGone'; readonly request: RequestId}
  /** The time limit of a request has passed. */
  | {readonly kind: 'timeLimitReached'; readonly request: RequestId}
  | {readonly kind: 'streamStarted'; readonly dispatch: DispatchId}
  /** A stream still delivers data; posted at intervals. */
  | {readonly kind: 'streamProgress'; readonly dispatch: DispatchId}
  | {
      /** Tokens of the answer so far; posted about twice a second. */
      readonly kind: 'tokensStreamed';
      readonly dispatch: DispatchId;
      readonly answerTokens: number;
    }
  | {
      readonly kind: 'streamEnded';
      readonly dispatch: DispatchId;
      readonly end: StreamEnd;
      /** The answer, stored to answer a resent non-idempotent request. */
      readonly stored: StoredAnswer | null;
    }
  | {
      /**
       * The connection broke while the rest of an answer arrived that had ended
       * its request as failed.
       */
      readonly kind: 'failedAnswerBroken';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
    }
  | {
      /** The head of an answer that states something, or no longer does. */
      readonly kind: 'endpointSignalled';
      readonly set: EndpointSetId;
      readonly endpoint: EndpointId;
      readonly signals: EndpointSignals;
    }
  | {
      readonly kind: 'endpointContact';
      readonly announcement: EndpointAnnouncement;
    }
  | {
      /** An endpoint reported that it stops, or has stopped. */
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
      readonly replacement: ConfigurationReplacement;
    }
  | {
      /** The settings name further nodes that may run control daemons. */
      readonly kind: 'controlNodesLearned';
      readonly nodes: readonly NodeId[];
    }
  | {
      /** Another entry sent this one a message meant for a control daemon. */
      readonly kind: 'misdirectedControlMessage';
      readonly from: NodeId;
    }
  | {
      /** An operator's query that the leading control daemon answers. */
      readonly kind: 'queryReceived';
      readonly correlation: RequestId;
      readonly query: ControlQuery;
    }
  | {
      /** A refusal was sent to a caller. */
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
      /** A connection to an endpoint was opened to see whether it can be. */
      readonly kind: 'endpointProbed';
      readonly endpoint: EndpointId;
      readonly isReached: boolean;
    }
  | {
      /** The answer of another entry to a request that was passed on ended. */
      readonly kind: 'relayEnded';
      readonly request: RequestId;
      readonly relay: RelayId;
      readonly end: RelayEnd;
    }
  | {
      /** An endpoint answered an order, or could not be reached. */
      readonly kind: 'endpointOrderEnded';
      readonly execution: OrderExecution;
      readonly result: OrderResult;
    }
  | {
      readonly kind: 'addressesRequested';
      readonly correlation: RequestId;
      readonly organisation: OrganisationId;
      readonly set: EndpointSetId;
    }
  | {readonly kind: 'shutdownRequested'};

/** An answer that is stored for later requests with the same key. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** `null` when the body was too large to store. */
  readonly body: Uint8Array | null;
}

/** The progress of a command, configuration or query, for its operator. */
export type CommandProgress =
  | {readonly kind: 'answered'; readonly answer: CommandAnswer}
  | {readonly kind: 'force'; readonly status: InForceStatus}
  /** The control log stored the operator's configuration of this version. */
  | {readonly kind: 'replaced'; readonly version: number}
  /** The control log did not answer in time. */
  | {readonly kind: 'unanswered'}
  | {readonly kind: 'queried'; readonly result: ControlQueryResult};
