import type {
  BatchResult,
  ConfigurationChange,
} from '@gentianshunt/configuration';
import type {FencingNumber, OrderResult} from '@gentianshunt/orders';
import type {
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
  NodeId,
  OperatorId,
  RegionId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {ControlQuery, ControlQueryResult} from './controlQuery.js';
import type {
  ClaimKey,
  ClaimOutcome,
  CommandNumber,
  ConfigurationReplacement,
  ConfigurationVersion,
  OperatorCommand,
  Term,
} from './logEntry.js';
import type {CountReport} from './serviceCount.js';

/** Network address of a daemon. */
export interface NetworkAddress {
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/** Location of an entry and the addresses at which it is reached. */
export interface EntryAddress {
  readonly node: NodeId;
  readonly region: RegionId;
  readonly domain: FailureDomainId;
  /** Address for other daemons. */
  readonly peer: NetworkAddress;
  /** Address for callers. */
  readonly http: NetworkAddress;
  /** Address for requests that other entries pass on; absent without one. */
  readonly relay?: NetworkAddress;
  /** Processor share of the VM in cores; counts as one if absent. */
  readonly cores?: number;
}

/** The answer to a command of an operator. */
export type CommandAnswer =
  | {
      readonly kind: 'applied';
      readonly number: CommandNumber;
      readonly version: ConfigurationVersion;
      readonly result: BatchResult;
    }
  | {
      /** Another command already has the number. */
      readonly kind: 'numberTaken';
      readonly number: CommandNumber;
      /** Operator of the command that has the number. */
      readonly winner: OperatorId;
      readonly winnerDigest: string;
      readonly nextFree: CommandNumber;
    }
  | {
      /** The number is below the oldest stored command. */
      readonly kind: 'numberForgotten';
      readonly number: CommandNumber;
      readonly nextFree: CommandNumber;
    }
  | {
      /** The number is too far above those in use; nothing was applied. */
      readonly kind: 'numberTooHigh';
      readonly number: CommandNumber;
      readonly nextFree: CommandNumber;
    };

/** Whether a configuration version is in force on every entry. */
export interface InForceStatus {
  readonly version: ConfigurationVersion;
  readonly isInForce: boolean;
  /** Entries with a live lease that have not confirmed the version. */
  readonly unconfirmed: readonly NodeId[];
  /** Remaining time of the lease recovery period, or 0 after it. */
  readonly settlingMs: number;
}

/** The answer to a claim on an idempotency key. */
export type ClaimAnswer =
  /** The request holds the claim and may run. */
  | {readonly kind: 'granted'}
  /** Another request with the key is running at an entry. */
  | {readonly kind: 'running'; readonly node: NodeId}
  /** The claim is completed. */
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  /** The key was used for a different request. */
  | {readonly kind: 'digestMismatch'}
  /** No more claims can be stored for now. */
  | {readonly kind: 'full'; readonly retryAfterMs: number};

/** Messages from an entry to the control daemons. */
export type EntryToControl =
  | {
      readonly kind: 'entryHeartbeat';
      readonly entry: EntryAddress;
      readonly incarnation: IncarnationId;
      /** Number of the heartbeat, which the reply returns. */
      readonly sequence: number;
      /** Configuration version that the entry uses. */
      readonly version: ConfigurationVersion;
      /** Directory version that the entry uses. */
      readonly directoryVersion: DirectoryVersion;
      readonly draining: boolean;
      /** Whether the entry reaches no endpoint; absent in older versions. */
      readonly isIsolated?: boolean;
      /** Sets that the entry leads and that have endpoints. */
      readonly setsInUse: readonly EndpointSetId[];
    }
  | {
      /** Sent as soon as the entry has applied a pushed update. */
      readonly kind: 'versionConfirmed';
      readonly version: ConfigurationVersion;
      readonly directoryVersion: DirectoryVersion;
    }
  | {readonly kind: 'countReportRequest'; readonly report: CountReport}
  | {
      /** A set leader offers to execute an order to one of its endpoints. */
      readonly kind: 'orderOffer';
      readonly endpoint: EndpointId;
      readonly revision: number;
      readonly set: EndpointSetId;
      readonly epoch: number;
    }
  | {
      /** Result of an order execution. */
      readonly kind: 'orderReport';
      readonly endpoint: EndpointId;
      readonly fencing: FencingNumber;
      readonly result: OrderResult;
    }
  | {
      readonly kind: 'controlQueryRequest';
      readonly correlation: RequestId;
      readonly query: ControlQuery;
    }
  | {
      readonly kind: 'commandRequest';
      readonly correlation: RequestId;
      readonly command: OperatorCommand;
    }
  | {
      readonly kind: 'replacementRequest';
      readonly correlation: RequestId;
      readonly replacement: ConfigurationReplacement;
    }
  | {
      /** Asks whether a configuration version is in force. */
      readonly kind: 'commandStatusRequest';
      readonly correlation: RequestId;
      readonly version: ConfigurationVersion;
    }
  | {
      readonly kind: 'claimRequest';
      readonly key: ClaimKey;
      /** Digest of the request, which distinguishes a resend from a new one. */
      readonly digest: string;
      readonly request: RequestId;
    }
  | {
      /** Completes a claim with the outcome of its request. */
      readonly kind: 'settleRequest';
      readonly key: ClaimKey;
      readonly request: RequestId;
      readonly outcome: ClaimOutcome;
    };

/** Why a control daemon may not answer entries. */
export type UnconfirmedReason =
  | 'notLeading'
  /** The first entry of its term is not committed and applied yet. */
  | 'ownEntryNotApplied'
  /** No quorum has answered lately. */
  | 'leaderLeaseLapsed';

/** Messages from a control daemon to an entry. */
export type ControlToEntry =
  | {
      readonly kind: 'configurationUpdate';
      /** Number of the answered heartbeat, or `null` for a push. */
      readonly sequence: number | null;
      /** The entry's process that sent the heartbeat, or `null` for a push. */
      readonly incarnation: IncarnationId | null;
      /** Version that the changes apply to; 0 replaces everything. */
      readonly fromVersion: ConfigurationVersion;
      readonly version: ConfigurationVersion;
      readonly changes: readonly ConfigurationChange[];
      readonly directory: DirectoryUpdate | null;
      /** Lifetime of the lease, counted from when the heartbeat was sent. */
      readonly leaseMs: number;
    }
  | {
      readonly kind: 'notLeader';
      /** Number of the heartbeat, or `null` for another message. */
      readonly sequence: number | null;
      /** The leader that the sender knows, if any. */
      readonly leader: NodeId | null;
    }
  | {
      /**
       * The sender leads, but may not answer the heartbeat yet. It does so once
       * it can, unless it loses the lead before.
       */
      readonly kind: 'leaderUnconfirmed';
      readonly sequence: number;
      /** The entry's process that sent the heartbeat. */
      readonly incarnation: IncarnationId;
      readonly reason: UnconfirmedReason;
    }
  | {
      readonly kind: 'commandReply';
      readonly correlation: RequestId;
      readonly answer: CommandAnswer;
    }
  | {
      /** The replacement is applied, or a higher version is stored. */
      readonly kind: 'replacementReply';
      readonly correlation: RequestId;
      readonly version: number;
    }
  | {
      /** The control daemons that an entry can connect to. */
      readonly kind: 'membersUpdate';
      readonly members: readonly NodeId[];
    }
  | {
      readonly kind: 'commandStatusReply';
      readonly correlation: RequestId;
      readonly status: InForceStatus;
    }
  | {
      readonly kind: 'countReportReply';
      readonly incarnation: IncarnationId;
      readonly sequence: number;
    }
  | {
      readonly kind: 'controlQueryReply';
      readonly correlation: RequestId;
      readonly result: ControlQueryResult;
    }
  | {
      readonly kind: 'claimReply';
      readonly key: ClaimKey;
      readonly request: RequestId;
      readonly answer: ClaimAnswer;
    }
  | {
      readonly kind: 'settleReply';
      readonly key: ClaimKey;
      readonly request: RequestId;
    };

/** An entry that holds a lease. */
export interface DirectoryEntry {
  readonly address: EntryAddress;
  readonly draining: boolean;
  /** Whether it reaches no endpoint, and passes requests on; absent if not. */
  readonly isIsolated?: true;
}

/** Version of a directory; that of a later term replaces earlier ones. */
export interface DirectoryVersion {
  readonly term: Term;
  readonly number: number;
  /** Digest of the entries; equal for equal directories of any leader. */
  readonly digest: number;
}

/** The entries that hold a lease, with the version of the list. */
export interface EntryDirectory {
  readonly version: DirectoryVersion;
  readonly entries: readonly DirectoryEntry[];
}

/** The change from one directory version to the next. */
export type DirectoryChange =
  | {readonly kind: 'put'; readonly entry: DirectoryEntry}
  | {readonly kind: 'remove'; readonly node: NodeId};

/** An update that brings an entry's directory to a version. */
export type DirectoryUpdate =
  | {readonly kind: 'replace'; readonly directory: EntryDirectory}
  | {
      readonly kind: 'delta';
      readonly from: DirectoryVersion;
      readonly version: DirectoryVersion;
      readonly changes: readonly DirectoryChange[];
    };

/** Version of an entry that has not received a directory yet. */
export const NO_DIRECTORY_VERSION: DirectoryVersion = {
  term: 0,
  number: 0,
  digest: 0,
};
