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

import type {
  ClaimKey,
  ClaimOutcome,
  CommandNumber,
  LogIndex,
  OperatorCommand,
  Replacement,
  Term,
} from './logEntry.js';
import type {CalendarMonth, CountReport, ServiceCount} from './serviceCount.js';
import type {RecentCount} from './recentCount.js';

/** An address of a daemon: IP number and port. */
export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** How callers and other daemons reach an entry. */
export interface EntryAddress {
  readonly node: NodeId;
  readonly region: RegionId;
  readonly domain: FailureDomainId;
  readonly peer: NetworkAddress;
  readonly http: NetworkAddress;
}

/** Version of the configuration: the log index that last changed it. */
export type ConfigurationVersion = LogIndex;

/** The answer to an operator's command number. */
export type CommandAnswer =
  | {
      readonly kind: 'applied';
      readonly number: CommandNumber;
      readonly version: ConfigurationVersion;
      readonly result: BatchResult;
    }
  | {
      /** The number names another command already. */
      readonly kind: 'numberTaken';
      readonly number: CommandNumber;
      readonly winner: OperatorId;
      readonly winnerDigest: string;
      readonly nextFree: CommandNumber;
    }
  | {
      /** The number is older than any that is still remembered. */
      readonly kind: 'numberForgotten';
      readonly number: CommandNumber;
      readonly nextFree: CommandNumber;
    }
  | {
      /** The number lies too far above those in use; nothing was run. */
      readonly kind: 'numberTooHigh';
      readonly number: CommandNumber;
      readonly nextFree: CommandNumber;
    };

/** A remembered command, as a query shows it. */
export interface CommandSummary {
  readonly number: CommandNumber;
  readonly operator: OperatorId;
  readonly digest: string;
  readonly version: ConfigurationVersion;
  readonly result: BatchResult['kind'];
}

/** A question that only the leading control daemon can answer. */
export type ControlQuery =
  | {readonly kind: 'counts'; readonly month: CalendarMonth | null}
  | {readonly kind: 'recentCounts'}
  | {readonly kind: 'source'}
  | {readonly kind: 'commands'; readonly limit: number};

/** What the leading control daemon answers to a query. */
export type ControlQueryResult =
  | {readonly kind: 'counts'; readonly counts: readonly ServiceCount[]}
  | {readonly kind: 'recentCounts'; readonly counts: readonly RecentCount[]}
  | {
      readonly kind: 'source';
      /** `null` before the first replacement. */
      readonly source: ConfigurationSource | null;
    }
  | {
      readonly kind: 'commands';
      readonly nextFree: CommandNumber;
      /** Numbers below it are refused. */
      readonly floor: CommandNumber;
      /** The latest commands, highest number first. */
      readonly commands: readonly CommandSummary[];
    };

/** The document that the configuration was last replaced by. */
export interface ConfigurationSource {
  readonly version: number;
  readonly document: Uint8Array;
}

/** Stands for the document before the first replacement. */
export const NO_SOURCE: ConfigurationSource = {
  version: -1,
  document: new Uint8Array(),
};

/** Whether an accepted version is in force on every entry. */
export interface ForceStatus {
  readonly version: ConfigurationVersion;
  readonly isInForce: boolean;
  /** Entries with a live lease that have not confirmed the version. */
  readonly unconfirmed: readonly NodeId[];
  /** Time for leases of an earlier leader to run out, if any may live. */
  readonly settlingMs: number;
}

/** The answer to a claim on an idempotency key. */
export type ClaimAnswer =
  | {readonly kind: 'granted'}
  | {readonly kind: 'running'; readonly node: NodeId}
  | {readonly kind: 'settled'; readonly outcome: ClaimOutcome}
  | {readonly kind: 'digestMismatch'}
  | {readonly kind: 'full'; readonly retryAfterMs: number};

/** Messages from an entry to the control daemons. */
export type EntryToControl =
  | {
      readonly kind: 'entryHeartbeat';
      readonly entry: EntryAddress;
      readonly incarnation: IncarnationId;
      /** Tells apart the heartbeats of one entry; the reply repeats it. */
      readonly sequence: number;
      readonly version: ConfigurationVersion;
      /** Version of the directory the entry holds. */
      readonly directoryVersion: DirectoryVersion;
      readonly draining: boolean;
      /** Sets led by the entry that have endpoints. */
      readonly setsInUse: readonly EndpointSetId[];
    }
  | {
      /** Sent at once when a pushed update was applied. */
      readonly kind: 'versionConfirmed';
      readonly version: ConfigurationVersion;
      readonly directoryVersion: DirectoryVersion;
    }
  | {readonly kind: 'countReportRequest'; readonly report: CountReport}
  | {
      /** The leader of a set asks to carry an order to an endpoint of it. */
      readonly kind: 'orderOffer';
      readonly endpoint: EndpointId;
      readonly revision: number;
      readonly set: EndpointSetId;
      readonly epoch: number;
    }
  | {
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
      readonly replacement: Replacement;
    }
  | {
      readonly kind: 'commandStatusRequest';
      readonly correlation: RequestId;
      readonly version: ConfigurationVersion;
    }
  | {
      readonly kind: 'claimRequest';
      readonly key: ClaimKey;
      readonly digest: string;
      readonly request: RequestId;
    }
  | {
      readonly kind: 'settleRequest';
      readonly key: ClaimKey;
      readonly request: RequestId;
      readonly outcome: ClaimOutcome;
    };

/** Messages from a control daemon to an entry. */
export type ControlToEntry =
  | {
      readonly kind: 'configurationUpdate';
      /** The heartbeat this answers, or `null` for a push. */
      readonly sequence: number | null;
      /** Version the changes apply to; 0 replaces everything. */
      readonly fromVersion: ConfigurationVersion;
      readonly version: ConfigurationVersion;
      readonly changes: readonly ConfigurationChange[];
      readonly directory: DirectoryUpdate | null;
      /** Lifetime of the lease from the sending of the heartbeat. */
      readonly leaseMs: number;
    }
  | {
      readonly kind: 'notLeader';
      readonly sequence: number | null;
      readonly leader: NodeId | null;
    }
  | {
      readonly kind: 'commandReply';
      readonly correlation: RequestId;
      readonly answer: CommandAnswer;
    }
  | {
      /** The stored version is the one asked for or a higher one. */
      readonly kind: 'replacementReply';
      readonly correlation: RequestId;
      readonly version: number;
    }
  | {
      /** The nodes that keep the log, for an entry to turn to. */
      readonly kind: 'membersUpdate';
      readonly members: readonly NodeId[];
    }
  | {
      readonly kind: 'commandStatusReply';
      readonly correlation: RequestId;
      readonly status: ForceStatus;
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

/** One entry that holds a lease. */
export interface DirectoryEntry {
  readonly address: EntryAddress;
  readonly draining: boolean;
}

/** Orders directories: those of a later leader replace earlier ones. */
export interface DirectoryVersion {
  readonly term: Term;
  readonly number: number;
  /** Equal for equal directories, whichever leader made them. */
  readonly digest: number;
}

/** The entries that hold a lease, with a version that rises. */
export interface EntryDirectory {
  readonly version: DirectoryVersion;
  readonly entries: readonly DirectoryEntry[];
}

/** One step between two versions of the directory. */
export type DirectoryChange =
  | {readonly kind: 'put'; readonly entry: DirectoryEntry}
  | {readonly kind: 'remove'; readonly node: NodeId};

/** Brings an entry's directory to a version. */
export type DirectoryUpdate =
  | {readonly kind: 'replace'; readonly directory: EntryDirectory}
  | {
      readonly kind: 'delta';
      readonly from: DirectoryVersion;
      readonly version: DirectoryVersion;
      readonly changes: readonly DirectoryChange[];
    };

/** Version of a directory that was never received. */
export const NO_DIRECTORY_VERSION: DirectoryVersion = {
  term: 0,
  number: 0,
  digest: 0,
};
