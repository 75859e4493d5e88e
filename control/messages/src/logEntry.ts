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

/** Identifies one operator command in the whole deployment. */
export type CommandNumber = number;

/** A batch of commands as an operator sent it. */
export interface OperatorCommand {
  readonly number: CommandNumber;
  readonly operator: OperatorId;
  /** Digest of the text, which distinguishes a resend from a new command. */
  readonly digest: string;
  readonly commands: readonly ObjectCommand[];
}

/** A whole configuration that replaces the current one. */
export interface ConfigurationReplacement {
  /** The operator's version; ignored unless above the stored one. */
  readonly version: number;
  readonly objects: readonly ConfigurationObject[];
  /** The document as the operator sent it. */
  readonly source: Uint8Array;
}

/** Identifies a non-idempotent request, which may run only once. */
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
  /** The request was answered, but the answer was too large to store. */
  | {readonly kind: 'answeredNotKept'; readonly status: number}
  /** The request did not run. */
  | {readonly kind: 'notRun'}
  /** The request may or may not have run. */
  | {readonly kind: 'unknown'};

/** Content of an entry of the replicated log. */
export type LogPayload =
  | {readonly kind: 'noop'}
  | {
      /** Takes effect once it is in the log, before it is committed. */
      readonly kind: 'membership';
      readonly members: readonly Member[];
    }
  | {
      readonly kind: 'command';
      readonly command: OperatorCommand;
      /** Sets with endpoints, according to the proposer's entry sessions. */
      readonly setsInUse: readonly EndpointSetId[];
    }
  | {
      readonly kind: 'replaceConfiguration';
      readonly replacement: ConfigurationReplacement;
    }
  | {
      readonly kind: 'assignSetLeader';
      readonly set: EndpointSetId;
      readonly node: NodeId;
    }
  | {
      readonly kind: 'claim';
      readonly key: ClaimKey;
      /** Digest of the request; distinguishes a resend from a reused key. */
      readonly digest: string;
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly request: RequestId;
      /** Wall clock of the proposer, in milliseconds since 1970. */
      readonly atMs: number;
    }
  | {
      /** Completes a claim with the outcome of its request. */
      readonly kind: 'settleClaim';
      readonly key: ClaimKey;
      readonly request: RequestId;
      readonly outcome: ClaimOutcome;
      readonly atMs: number;
    }
  | {
      /**
       * Completes the running claims of an entry's earlier incarnations with
       * unknown outcome.
       */
      readonly kind: 'loseClaims';
      readonly node: NodeId;
      /** The incarnation whose claims stay; `null` completes all claims. */
      readonly keep: IncarnationId | null;
      readonly atMs: number;
    }
  /** Removes the claims that have expired at the time. */
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

/** Term of the control log's leader; increases with each election. */
export type Term = number;
/** Position in the control log; the first entry has index 1. */
export type LogIndex = number;

/** Configuration version: the index of the log entry that last changed it. */
export type ConfigurationVersion = LogIndex;

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
