import type {
  ConfigurationObject,
  ObjectCommand,
} from '@gentianshunt/configuration';
import type {FencingNumber, OrderResult} from '@gentianshunt/orders';
import type {
  EndpointId,
  EndpointSetId,
  IncarnationId,
  NodeId,
  OperatorId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {Member} from './membership.js';
import type {CountReport} from './serviceCount.js';

/** Names one operator command in the whole deployment. */
export type CommandNumber = number;

/** A batch of changes as an operator sent it. */
export interface OperatorCommand {
  readonly number: CommandNumber;
  readonly operator: OperatorId;
  /** Digest of the text, which tells a resend from another command. */
  readonly digest: string;
  readonly commands: readonly ObjectCommand[];
}

/** A whole configuration that takes the place of an older one. */
export interface Replacement {
  /** The operator's version; one that is not above the stored one is void. */
  readonly version: number;
  readonly objects: readonly ConfigurationObject[];
  /** The document as the operator sent it. */
  readonly source: Uint8Array;
}

/** Identifies the single run of a non-idempotent request. */
export interface ClaimKey {
  readonly organisation: OrganisationId;
  readonly idempotencyKey: string;
}

/** How a claimed request ended. */
export type ClaimOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  /** The answer was too large to keep; the request ran once. */
  | {readonly kind: 'answeredNotKept'; readonly status: number}
  | {readonly kind: 'notRun'}
  | {readonly kind: 'unknown'};

/** What the replicated log carries. */
export type LogPayload =
  | {readonly kind: 'noop'}
  | {
      /** Takes effect as soon as it is in the log. */
      readonly kind: 'membership';
      readonly members: readonly Member[];
    }
  | {
      readonly kind: 'command';
      readonly command: OperatorCommand;
      /** Sets that have endpoints, as the proposer's sessions report them. */
      readonly setsInUse: readonly EndpointSetId[];
    }
  | {
      readonly kind: 'replaceConfiguration';
      readonly replacement: Replacement;
    }
  | {
      readonly kind: 'assignSetLeader';
      readonly set: EndpointSetId;
      readonly node: NodeId;
    }
  | {
      readonly kind: 'claim';
      readonly key: ClaimKey;
      /** Digest of the request, which tells a resend from a reused key. */
      readonly digest: string;
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly request: RequestId;
      /** Time of day at the proposer, in milliseconds since the epoch. */
      readonly atMs: number;
    }
  | {
      readonly kind: 'settleClaim';
      readonly key: ClaimKey;
      readonly request: RequestId;
      readonly outcome: ClaimOutcome;
      readonly atMs: number;
    }
  | {
      /** Ends the running claims of an entry's earlier incarnations. */
      readonly kind: 'loseClaims';
      readonly node: NodeId;
      /** The incarnation whose claims stay; `null` ends them all. */
      readonly keep: IncarnationId | null;
      readonly atMs: number;
    }
  | {readonly kind: 'expireClaims'; readonly atMs: number}
  | {
      /** Issues an order to the leader of the endpoint's set. */
      readonly kind: 'issueOrder';
      readonly endpoint: EndpointId;
      readonly revision: number;
      readonly set: EndpointSetId;
      readonly node: NodeId;
      readonly epoch: number;
      readonly atMs: number;
    }
  | {
      readonly kind: 'endOrder';
      readonly endpoint: EndpointId;
      readonly fencing: FencingNumber;
      readonly result: OrderResult;
    }
  | {
      readonly kind: 'countReport';
      readonly node: NodeId;
      readonly report: CountReport;
      readonly atMs: number;
    };

/** Term of a leader of the control log. */
export type Term = number;
/** Position in the control log; the first entry has index 1. */
export type LogIndex = number;

/** A position in the log and the term of the entry there. */
export interface LogPosition {
  readonly index: LogIndex;
  readonly term: Term;
}

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: LogIndex;
  readonly term: Term;
  readonly payload: LogPayload;
}
