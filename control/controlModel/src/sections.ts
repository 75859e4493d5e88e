import {
  compareBy,
  compareValues,
  defineCell,
  defineController,
  defineMap,
  defineOrdered,
} from '@gentianshunt/board';
import type {AnyController, Controller, Write} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ConfigurationChange,
  ConfigurationObject,
  ObjectKey,
} from '@gentianshunt/configuration';
import {NO_DIRECTORY_VERSION, NO_SOURCE} from '@gentianshunt/messages';
import type {
  CommandNumber,
  ConfigurationSource,
  ConfigurationVersion,
  ConsensusMessage,
  DirectoryChange,
  DirectoryVersion,
  LogEntry,
  LogIndex,
  LogPayload,
  RecentCountKey,
  ServiceCountKey,
  ServiceTotals,
  StateSnapshot,
  StorageId,
} from '@gentianshunt/messages';
import {INITIAL_BUCKET} from '@gentianshunt/orders';
import type {TokenBucket} from '@gentianshunt/orders';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import type {LogBounds} from './logBounds.js';
import type {ControlEffect, PersistBatch} from './effect.js';
import type {ControlObservation} from './observation.js';
import {createRecordSections} from './recordSections.js';
import type {ReleaseRecord} from './releaseRecord.js';
import type {
  Ballot,
  CapturedState,
  ElectionTimer,
  FollowerProgress,
  IncomingSnapshot,
  JoinRequest,
  LeaderClock,
  Leadership,
  LogStatus,
  Membership,
  RememberedFolderPosition,
  Role,
  StartCheck,
} from './role.js';
import type {
  AssignmentPhase,
  AssignmentProposal,
  EntrySession,
  LeaderlessSet,
  LedSetKey,
  PendingKey,
  PendingReply,
  AppliedRelease,
  SessionLeaseKey,
  SessionVersionKey,
  SetLeaderCandidate,
  SetLeaderLoadKey,
  SharedUpdate,
  WaitingHeartbeats,
} from './sessionRecords.js';
import {
  compareClaimExpiry,
  compareCountMarks,
  compareKinds,
  compareRecentCounts,
  compareReferences,
  compareRunningClaims,
  compareServiceCounts,
} from './stateRecords.js';
import type {
  AppliedStatus,
  ChangeUsage,
  ClaimExpiryKey,
  ClaimId,
  ClaimRecord,
  ClaimUsage,
  CommandRecord,
  CountMark,
  CountMarkKey,
  KindKey,
  ReferenceKey,
  RunningClaimKey,
} from './stateRecords.js';

/** Which nodes may be members of the group that replicates the log. */
export type AdmissionPolicy =
  /** Only the nodes that the settings list. */
  | {readonly kind: 'listed'}
  | {
      /** Any node that asks; voters that stay silent are removed. */
      readonly kind: 'open';
      /** Whether this node may bootstrap a group with the listed nodes. */
      readonly mayBootstrap: boolean;
    };

/** The fixed settings of a control daemon in the group. */
export interface ControlIdentity {
  readonly node: NodeId;
  /** The nodes that bootstrap the group; may include this one. */
  readonly bootstrapMembers: readonly NodeId[];
  readonly admission: AdmissionPolicy;
  /** This member's data folder. */
  readonly storage: StorageId;
  /**
   * Drawn at random at each start: the seed of the election jitter, which also
   * tells the starts of a node apart.
   */
  readonly seed: number;
  /**
   * Time after the acknowledgement of a release within which every entry must
   * have stopped using older ones.
   */
  readonly releaseApplyMs: Milliseconds;
  readonly logBounds: LogBounds;
}

/** A message that is sent once a batch is synced to disk. */
export interface DeferredMessage {
  readonly to: NodeId;
  /** A receiver with another folder drops the message; `null` is any. */
  readonly storage: StorageId | null;
  readonly message: ConsensusMessage;
}

/** A batch that is not synced yet and the messages that wait for it. */
export interface UnsyncedBatch {
  readonly kind: PersistBatch['kind'];
  readonly messages: readonly DeferredMessage[];
  /** The last log index that is synced once the batch is. */
  readonly lastIndex: LogIndex;
}

/** Creates the sections of a control daemon's board. */
export function createControlSections(identity: ControlIdentity) {
  return {
    identity: defineCell<ControlIdentity>(identity),
    ballot: defineCell<Ballot>({term: 0, votedFor: null}),
    role: defineCell<Role>({kind: 'follower', leader: null}),
    log: defineOrdered<LogIndex, LogEntry>(compareValues),
    logStatus: defineCell<LogStatus>({
      base: {index: 0, term: 0},
      lastIndex: 0,
      lastTerm: 0,
      syncedIndex: 0,
      commitIndex: 0,
    }),
    /**
     * The bytes of the log up to and including each entry, and up to its base.
     * Only differences have a meaning.
     */
    logOffsets: defineOrdered<LogIndex, number>(compareValues),
    /** The leader's record of each other member. */
    followerProgress: defineMap<NodeId, FollowerProgress>(),
    electionTimer: defineCell<ElectionTimer>({
      deadline: 0,
      attempts: 0,
      leaderContact: {kind: 'none'},
    }),
    memberships: defineCell<readonly Membership[]>([]),
    leadership: defineCell<Leadership>({kind: 'following'}),
    leaderClock: defineCell<LeaderClock>({offsetMs: 0, steadySince: 0}),
    startCheck: defineCell<StartCheck>({
      kind: 'checking',
      since: 0,
      answers: new Map(),
    }),
    snapshot: defineCell<StateSnapshot | null>(null),
    /** The size of the snapshot, in bytes. */
    snapshotBytes: defineCell<number>(0),
    /** The copy of the applied state that the next snapshot holds. */
    capturedState: defineCell<CapturedState | null>(null),
    /** The snapshot that is being received. */
    incomingSnapshot: defineCell<IncomingSnapshot | null>(null),
    /** What this member remembers of the other members' data folders. */
    rememberedPositions: defineMap<NodeId, RememberedFolderPosition>(),
    /** Requests to join the group that are neither fulfilled nor expired. */
    joiningNodes: defineMap<NodeId, JoinRequest>(),
    /** Nodes that a member without a group sends its hello to. */
    contacts: defineCell<readonly NodeId[]>(identity.bootstrapMembers),
    /** Membership changes that the consensus controller appends. */
    memberProposals: defineCell<readonly LogPayload[]>([]),
    persistSequence: defineCell<number>(0),
    /** Batches that are not synced yet, by sequence number. */
    unsyncedBatches: defineOrdered<number, UnsyncedBatch>(compareValues),
    /** Other payloads that the consensus controller appends. */
    proposals: defineCell<readonly LogPayload[]>([]),
    applied: defineCell<AppliedStatus>({index: 0, version: 0}),
    configuration: defineMap<ObjectKey, ConfigurationObject>(),
    source: defineCell<ConfigurationSource>(NO_SOURCE),
    history: defineOrdered<
      ConfigurationVersion,
      readonly ConfigurationChange[]
    >(compareValues),
    objectKinds: defineOrdered<KindKey, true>(compareKinds),
    references: defineOrdered<ReferenceKey, true>(compareReferences),
    commands: defineOrdered<CommandNumber, CommandRecord>(compareValues),
    changeUsage: defineCell<ChangeUsage>({history: 0, commands: 0}),
    /** The bytes of the changes that `changeUsage` counts. */
    changeBytes: defineCell<ChangeUsage>({history: 0, commands: 0}),
    commandFloor: defineCell<CommandNumber>(1),
    /** Limits the rate at which orders load from the weight store. */
    weightStore: defineCell<TokenBucket>(INITIAL_BUCKET),
    nextCommand: defineCell<CommandNumber>(1),
    claims: defineMap<ClaimId, ClaimRecord>(),
    claimExpiry: defineOrdered<ClaimExpiryKey, true>(compareClaimExpiry),
    runningClaims: defineOrdered<RunningClaimKey, true>(compareRunningClaims),
    claimUsage: defineCell<ClaimUsage>({claims: 0, answerBytes: 0}),
    serviceCounts: defineOrdered<ServiceCountKey, ServiceTotals>(
      compareServiceCounts,
    ),
    recentCounts: defineOrdered<RecentCountKey, ServiceTotals>(
      compareRecentCounts,
    ),
    countMarks: defineOrdered<CountMarkKey, CountMark>(compareCountMarks),
    sessions: defineMap<NodeId, EntrySession>(),
    sessionVersions: defineOrdered<SessionVersionKey, true>(
      compareBy('version', 'node'),
    ),
    sessionLeases: defineOrdered<SessionLeaseKey, true>(
      compareBy('leaseUntil', 'node'),
    ),
    /** The latest unanswered heartbeat of each entry. */
    waitingHeartbeats: defineMap<NodeId, WaitingHeartbeats>(),
    /** Updates to the latest version by the version that they start from. */
    sharedUpdates: defineOrdered<ConfigurationVersion, SharedUpdate>(
      compareValues,
    ),
    directory: defineCell<DirectoryVersion>(NO_DIRECTORY_VERSION),
    directoryHistory: defineOrdered<number, DirectoryChange>(compareValues),
    setLeaderCandidates: defineMap<NodeId, SetLeaderCandidate>(),
    setLeaderLoads: defineOrdered<SetLeaderLoadKey, true>(
      compareBy('region', 'load', 'node'),
    ),
    ledSets: defineOrdered<LedSetKey, true>(compareBy('node', 'set')),
    setLeaders: defineMap<EndpointSetId, NodeId>(),
    assignmentPhase: defineCell<AssignmentPhase>({kind: 'idle'}),
    /** Sets without a live leader. */
    leaderlessSets: defineMap<EndpointSetId, LeaderlessSet>(),
    assignmentProposals: defineCell<readonly AssignmentProposal[]>([]),
    /** The releases applied lately, by the operator's version. */
    appliedReleases: defineOrdered<number, AppliedRelease>(compareValues),
    /** Requests of entries that await a reply. */
    pendingReplies: defineMap<PendingKey, PendingReply>(),
    /** The latest releases, by log index. */
    releases: defineOrdered<LogIndex, ReleaseRecord>(compareValues),
    ...createRecordSections(),
  };
}

/** The sections of a control daemon's board. */
export type ControlSections = ReturnType<typeof createControlSections>;

/** A controller of a control daemon's board. */
export type ControlController = AnyController<
  ControlSections,
  ControlObservation,
  ControlEffect
>;

/** A write that a controller with the named sections may return. */
export type ControlWrite<Writes extends keyof ControlSections> = Write<
  ControlSections,
  Writes,
  ControlEffect
>;

/** Defines a controller of a control daemon's board. */
export function defineControlController<
  Reads extends keyof ControlSections,
  Writes extends keyof ControlSections,
>(
  controller: Controller<
    ControlSections,
    ControlObservation,
    ControlEffect,
    Reads,
    Writes
  > & {readonly observes: readonly ControlObservation['kind'][]},
): ControlController {
  return defineController<
    ControlSections,
    ControlObservation,
    ControlEffect,
    Reads,
    Writes
  >(controller);
}
