import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ClaimOutcome,
  EntryAddress,
  EntryToControl,
  NetworkAddress,
} from '@gentianshunt/messages';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

import type {EntryDecision} from './decision.js';
import type {OrderRun} from './endpointOrder.js';
import type {EntryMessage} from './exchange.js';
import type {CommandProgress, EntryTimer} from './observation.js';
import type {
  AdmittedRequest,
  Dispatch,
  Refusal,
  RequestEnd,
} from './request.js';

/** Everything an entry can have its adapters do. */
export type EntryOrder =
  | {
      readonly kind: 'openStream';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
    }
  | {
      /** Reads on at the same endpoint; it starts no new work there. */
      readonly kind: 'resumeStream';
      readonly request: AdmittedRequest;
      readonly dispatch: Dispatch;
      /** Complete events that the caller has already. */
      readonly fromEvent: number;
    }
  | {readonly kind: 'cancelStream'; readonly dispatch: Dispatch}
  | {readonly kind: 'refuseCaller'; readonly refusal: Refusal}
  | {
      /** Gives a caller the answer of an earlier run of its request. */
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
      /** Tells an entry who leads the control log, and who keeps it. */
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
      /** Carries an order to an endpoint, unless its time has passed. */
      readonly kind: 'sendEndpointOrder';
      readonly run: OrderRun;
    }
  | {
      readonly kind: 'answerAddresses';
      readonly correlation: RequestId;
      readonly lifetimeMs: Milliseconds;
      /** Entries in the order in which to try them. */
      readonly addresses: readonly EntryAddress[];
    }
  /** Tells of a decision; losing it changes nothing. */
  | {readonly kind: 'tell'; readonly decision: EntryDecision}
  | {readonly kind: 'exit'};

/** Orders that a front for callers carries out. */
export type CallerOrder = Extract<
  EntryOrder,
  {
    readonly kind:
      | 'openStream'
      | 'resumeStream'
      | 'cancelStream'
      | 'refuseCaller'
      | 'repeatAnswer'
      | 'answerAddresses';
  }
>;
