import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  ConfigurationVersion,
  ControlQuery,
  ControlToEntry,
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

/** The latest update that was sent to an entry. */
export interface UpdateDelivery {
  /** The configuration version that it ends at. */
  readonly version: ConfigurationVersion;
  /** When the part that the entry lacks was sent. */
  readonly sentAt: MonotonicTime;
  /** How often that part was sent. */
  readonly attempts: number;
}

/** An update that entries at the same version share. */
export interface SharedUpdate {
  readonly update: Extract<
    ControlToEntry,
    {readonly kind: 'configurationUpdate'}
  >;
  readonly usedAt: MonotonicTime;
}

/** An entry's session at the leading control daemon. */
export interface EntrySession {
  readonly entry: EntryAddress;
  readonly incarnation: IncarnationId;
  readonly draining: boolean;
  /** Whether the entry reaches no endpoint. */
  readonly isIsolated: boolean;
  /** The configuration version that the entry has confirmed. */
  readonly confirmedVersion: ConfigurationVersion;
  readonly delivery: UpdateDelivery;
  readonly directoryVersion: DirectoryVersion;
  readonly leaseUntil: MonotonicTime;
  readonly setsInUse: readonly EndpointSetId[];
}

/** The heartbeat of an entry. */
export type EntryHeartbeat = Extract<
  EntryToControl,
  {readonly kind: 'entryHeartbeat'}
>;

/** A heartbeat that a daemon cannot answer yet. */
export interface WaitingHeartbeat {
  readonly heartbeat: EntryHeartbeat;
  readonly receivedAt: MonotonicTime;
}

/**
 * The heartbeats of one entry that wait. The oldest is kept beside the latest, as
 * a leader whose quorum answers slowly may never be able to answer the latest.
 */
export interface WaitingHeartbeats {
  readonly oldest: WaitingHeartbeat;
  /** The oldest one itself, if no other waits. */
  readonly latest: WaitingHeartbeat;
}

/** Sorts the sessions by the version that the entry has confirmed. */
export interface SessionVersionKey {
  readonly version: ConfigurationVersion;
  readonly node: NodeId;
}

/** Sorts the sessions by the end of their lease. */
export interface SessionLeaseKey {
  readonly leaseUntil: MonotonicTime;
  readonly node: NodeId;
}

/** Sorts the entries of a region by the load that one more set would give. */
export interface SetLeaderLoadKey {
  readonly region: RegionId;
  /** Sets led, the additional one included, for each core of the VM. */
  readonly load: number;
  readonly node: NodeId;
}

/** An entry that may become a set leader. */
export interface SetLeaderCandidate {
  readonly region: RegionId;
  /** Processor share of the entry's VM. */
  readonly cores: number;
  /** Load as in `SetLeaderLoadKey`. */
  readonly load: number;
}

/** Sorts set leaders by entry, to find the sets that an entry leads. */
export interface LedSetKey {
  readonly node: NodeId;
  readonly set: EndpointSetId;
}

/** A set without a live leader. */
export interface LeaderlessSet {
  /** When the assignment of a leader was last proposed. */
  readonly proposedAt: MonotonicTime;
}

/** A set leader that the leading daemon proposes to the log. */
export interface AssignmentProposal {
  readonly set: EndpointSetId;
  readonly node: NodeId;
}

/** Whether this daemon may assign set leaders. */
export type AssignmentPhase =
  /** This daemon does not lead. */
  | {readonly kind: 'idle'}
  /** Lease recovery period: entries may hold leases of the former leader. */
  | {readonly kind: 'recovering'}
  /** The lease recovery period is over. */
  | {readonly kind: 'recovered'};

/** When a release was applied at this daemon. */
export interface AppliedRelease {
  /** The configuration version since which entries use it or a later one. */
  readonly version: ConfigurationVersion;
  readonly appliedAt: MonotonicTime;
}

/** An entry's request that is answered once the log has been applied. */
export interface PendingReply {
  readonly to: NodeId;
  /** When the request was last proposed, or asked if it needs no proposal. */
  readonly lastAttemptAt: MonotonicTime;
  readonly request: PendingRequest;
}

/** The request that a pending reply answers. */
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
      /** The completion of a claim. */
      readonly kind: 'settle';
      readonly claim: ClaimId;
      readonly message: Extract<
        EntryToControl,
        {readonly kind: 'settleRequest'}
      >;
    }
  | {
      /** A count report. */
      readonly kind: 'counts';
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly sequence: number;
    }
  | {
      /** A query that is answered once this daemon is confirmed to lead. */
      readonly kind: 'query';
      readonly correlation: RequestId;
      readonly query: ControlQuery;
    }
  | {
      /** A question that is answered once the version is in force. */
      readonly kind: 'force';
      readonly correlation: RequestId;
      readonly version: ConfigurationVersion;
    };

/** Key of a pending reply. */
export type PendingKey = Identifier<'pendingReply'>;
