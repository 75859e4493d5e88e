import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  ConfigurationVersion,
  DirectoryVersion,
  EntryAddress,
  EntryToControl,
  OperatorCommand,
} from '@gentianshunt/messages';
import type {
  EndpointSetId,
  Identifier,
  IncarnationId,
  NodeId,
  RegionId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {ClaimId} from './stateRecords.js';

/** The leading daemon's record of an entry. */
export interface EntrySession {
  readonly entry: EntryAddress;
  readonly incarnation: IncarnationId;
  readonly draining: boolean;
  /** The version the entry has confirmed. */
  readonly version: ConfigurationVersion;
  /** The version last sent to it. */
  readonly pushed: ConfigurationVersion;
  readonly directoryVersion: DirectoryVersion;
  readonly leaseUntil: MonotonicTime;
  readonly setsInUse: readonly EndpointSetId[];
}

/** Orders the sessions by the version they have confirmed. */
export interface SessionVersionKey {
  readonly version: ConfigurationVersion;
  readonly node: NodeId;
}

/** Orders the sessions by the end of their lease. */
export interface SessionLeaseKey {
  readonly leaseUntil: MonotonicTime;
  readonly node: NodeId;
}

/** Orders the entries of a region by the number of sets they lead. */
export interface LeaderLoadKey {
  readonly region: RegionId;
  readonly count: number;
  readonly node: NodeId;
}

/** An entry that may lead sets. */
export interface LeaderCandidate {
  readonly region: RegionId;
  readonly count: number;
}

/** Finds the sets led by an entry. */
export interface LedSetKey {
  readonly node: NodeId;
  readonly set: EndpointSetId;
}

/** A set without a live leader. */
export interface Vacancy {
  /** When an assignment was last proposed. */
  readonly proposedAt: MonotonicTime;
}

/** An assignment that the leading daemon wants in the log. */
export interface WantedAssignment {
  readonly set: EndpointSetId;
  readonly node: NodeId;
}

/** How far the assignment of set leaders has come. */
export type AssignmentPhase =
  /** This daemon does not lead. */
  | {readonly kind: 'idle'}
  /** Entries of the previous leader may still report. */
  | {readonly kind: 'settling'}
  | {readonly kind: 'settled'};

/** A request of an entry that is answered later. */
export interface PendingReply {
  readonly to: NodeId;
  /** When it was last proposed or asked. */
  readonly at: MonotonicTime;
  readonly request: PendingRequest;
}

/** What a pending reply answers. */
export type PendingRequest =
  | {
      readonly kind: 'command';
      readonly correlation: RequestId;
      readonly command: OperatorCommand;
    }
  | {
      readonly kind: 'replacement';
      readonly correlation: RequestId;
      readonly version: number;
    }
  | {
      readonly kind: 'claim';
      readonly claim: ClaimId;
      readonly message: Extract<
        EntryToControl,
        {readonly kind: 'claimRequest'}
      >;
    }
  | {
      readonly kind: 'settle';
      readonly claim: ClaimId;
      readonly message: Extract<
        EntryToControl,
        {readonly kind: 'settleRequest'}
      >;
    }
  | {
      readonly kind: 'counts';
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly sequence: number;
    }
  | {
      /** Answered once the version is in force. */
      readonly kind: 'force';
      readonly correlation: RequestId;
      readonly version: ConfigurationVersion;
    };

/** Key of a pending reply. */
export type PendingKey = Identifier<'pendingReply'>;
