import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ClaimOutcome,
  EntryAddress,
  EntryToControl,
  NetworkAddress,
} from '@gentianshunt/messages';
import type {EndpointId, NodeId, RequestId} from '@gentianshunt/identifiers';

import type {EntryDecision} from './decision.js';
import type {OrderExecution} from './endpointOrder.js';
import type {EntryMessage} from './entryMessage.js';
import type {ReportedLeave} from './leaveRecord.js';
import type {CommandProgress, EntryTimer} from './observation.js';
import type {Relay} from './relay.js';
import type {
  AdmittedRequest,
  Dispatch,
  EndpointTarget,
  Refusal,
  RequestEnd,
} from './request.js';

/** The effects that an entry's controllers request from its adapters. */
export type EntryEffect =
  | {
      readonly kind: 'openStream';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
    }
  | {
      /** Reads the rest of an answer from the same endpoint without a rerun. */
      readonly kind: 'resumeStream';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
      /** Complete events that were passed to the caller already. */
      readonly fromEvent: number;
    }
  | {readonly kind: 'cancelStream'; readonly dispatch: Dispatch}
  | {
      /** Passes a request on to another entry, and its answer to the caller. */
      readonly kind: 'relayCall';
      readonly request: AdmittedRequest;
      readonly relay: Relay;
    }
  | {readonly kind: 'cancelRelay'; readonly relay: Relay}
  | {
      /** Opens a connection to an endpoint and closes it again. */
      readonly kind: 'probeEndpoint';
      readonly target: EndpointTarget;
    }
  /** Lets the caller have the events of an answer that was held. */
  | {readonly kind: 'releaseAnswer'; readonly request: RequestId}
  | {readonly kind: 'refuseCaller'; readonly refusal: Refusal}
  | {
      /** Answers a caller with the stored outcome of an earlier request. */
      readonly kind: 'repeatAnswer';
      readonly request: RequestId;
      readonly outcome: ClaimOutcome;
    }
  | {
      readonly kind: 'sendEntry';
      readonly to: NodeId;
      readonly address: NetworkAddress;
      readonly message: EntryMessage;
    }
  | {
      readonly kind: 'sendControl';
      readonly to: NodeId;
      readonly message: EntryToControl;
    }
  | {
      /** Sends an entry the leader and the members of the control group. */
      readonly kind: 'redirectEntry';
      readonly to: NodeId;
      readonly leader: NodeId | null;
      readonly members: readonly NodeId[];
    }
  | {
      readonly kind: 'setTimer';
      readonly timer: EntryTimer;
      readonly delayMs: Milliseconds;
    }
  | {
      readonly kind: 'answerOperator';
      readonly correlation: RequestId;
      readonly progress: CommandProgress;
    }
  | {
      readonly kind: 'recordEnd';
      readonly request: AdmittedRequest;
      readonly end: RequestEnd;
      readonly waitedMs: Milliseconds;
      readonly firstTokenMs: Milliseconds | null;
    }
  | {
      /** Sends an order to an endpoint, unless its lease has ended. */
      readonly kind: 'sendEndpointOrder';
      readonly execution: OrderExecution;
    }
  | {
      readonly kind: 'answerAddresses';
      readonly correlation: RequestId;
      readonly lifetimeMs: Milliseconds;
      /** Entries in the order in which the caller tries them. */
      readonly addresses: readonly EntryAddress[];
    }
  | {
      /** Answers an endpoint that reported its leave and waits. */
      readonly kind: 'settleLeave';
      readonly endpoint: EndpointId;
      /** Whether another entry knows of the leave. */
      readonly isConfirmed: boolean;
    }
  | {
      /** Replaces the leaves on the disk of this VM. */
      readonly kind: 'storeLeaves';
      readonly leaves: readonly ReportedLeave[];
    }
  /** Logs a decision; nothing depends on its delivery. */
  | {readonly kind: 'logDecision'; readonly decision: EntryDecision}
  | {readonly kind: 'exit'};

/** Effects that an adapter for callers executes. */
export type CallerEffect = Extract<
  EntryEffect,
  {
    readonly kind:
      | 'openStream'
      | 'resumeStream'
      | 'cancelStream'
      | 'relayCall'
      | 'cancelRelay'
      | 'probeEndpoint'
      | 'releaseAnswer'
      | 'refuseCaller'
      | 'repeatAnswer'
      | 'answerAddresses';
  }
>;
