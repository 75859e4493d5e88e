import type {
  BatchResult,
  ConfigurationChange,
} from '@gentianshunt/configuration';
import type {
  FailureDomainId,
  NodeId,
  OperatorId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {
  ClaimKey,
  ClaimOutcome,
  CommandNumber,
  LogIndex,
  OperatorCommand,
} from './logEntry.js';

/** An address of a daemon: IP number and port. */
export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** How callers and other daemons reach an entry. */
export interface EntryAddress {
  readonly node: NodeId;
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
    };

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
      /** Tells apart the heartbeats of one entry; the reply repeats it. */
      readonly sequence: number;
      readonly version: ConfigurationVersion;
      /** Version of the directory the entry holds. */
      readonly directoryVersion: number;
      readonly draining: boolean;
    }
  | {
      readonly kind: 'commandRequest';
      readonly correlation: RequestId;
      readonly command: OperatorCommand;
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
      readonly directory: EntryDirectory | null;
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
      readonly kind: 'commandStatusReply';
      readonly correlation: RequestId;
      readonly version: ConfigurationVersion;
      /** Entries whose live lease has not confirmed the version. */
      readonly unconfirmed: readonly NodeId[];
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

/** The entries that hold a lease, with a version that rises. */
export interface EntryDirectory {
  readonly version: number;
  readonly entries: readonly DirectoryEntry[];
}
