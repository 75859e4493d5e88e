import {
  compareBy,
  compareValues,
  defineCell,
  defineController,
  defineMap,
  defineOrdered,
} from '@gentianshunt/board';
import type {AnyController, Controller, Write} from '@gentianshunt/board';
import type {
  ConfigurationChange,
  ConfigurationObject,
  ObjectKey,
} from '@gentianshunt/configuration';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {
  CommandNumber,
  ConfigurationVersion,
  ConsensusMessage,
  DirectoryChange,
  DirectoryVersion,
  LogEntry,
  LogIndex,
  LogPayload,
  ServiceCountKey,
  ServiceTotals,
} from '@gentianshunt/messages';
import {INITIAL_BUCKET} from '@gentianshunt/orders';
import type {TokenBucket} from '@gentianshunt/orders';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import type {ControlObservation} from './observation.js';
import type {ControlOrder} from './order.js';
import type {
  Ballot,
  ElectionTimer,
  FollowerProgress,
  LogStatus,
  Role,
} from './role.js';
import type {
  AssignmentPhase,
  EntrySession,
  LeaderCandidate,
  LeaderLoadKey,
  LedSetKey,
  PendingKey,
  PendingReply,
  SessionLeaseKey,
  SessionVersionKey,
  Vacancy,
  WantedAssignment,
} from './sessionRecords.js';
import {
  compareClaimExpiry,
  compareCountMarks,
  compareKinds,
  compareReferences,
  compareRunningClaims,
  compareServiceCounts,
} from './stateRecords.js';
import type {
  AppliedStatus,
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

/** What a control daemon knows of itself and its peers. */
export interface ControlIdentity {
  readonly node: NodeId;
  /** All voting members, this one included. */
  readonly members: readonly NodeId[];
  /** Seed of the election jitter. */
  readonly seed: number;
}

/** A message held back until the disk has synced a batch. */
export interface HeldMessage {
  readonly to: NodeId;
  readonly message: ConsensusMessage;
}

/** A batch on its way to the disk and what waits for it. */
export interface HeldBatch {
  readonly messages: readonly HeldMessage[];
  /** Last index of the log that the batch brings to the disk. */
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
      lastIndex: 0,
      lastTerm: 0,
      syncedIndex: 0,
      commitIndex: 0,
    }),
    progress: defineMap<NodeId, FollowerProgress>(),
    election: defineCell<ElectionTimer>({deadline: 0, attempts: 0}),
    persistSequence: defineCell<number>(0),
    held: defineOrdered<number, HeldBatch>(compareValues),
    proposals: defineCell<readonly LogPayload[]>([]),
    applied: defineCell<AppliedStatus>({index: 0, version: 0}),
    configuration: defineMap<ObjectKey, ConfigurationObject>(),
    history: defineOrdered<
      ConfigurationVersion,
      readonly ConfigurationChange[]
    >(compareValues),
    objectKinds: defineOrdered<KindKey, true>(compareKinds),
    references: defineOrdered<ReferenceKey, true>(compareReferences),
    commands: defineOrdered<CommandNumber, CommandRecord>(compareValues),
    commandFloor: defineCell<CommandNumber>(1),
    weightStore: defineCell<TokenBucket>(INITIAL_BUCKET),
    nextCommand: defineCell<CommandNumber>(1),
    claims: defineMap<ClaimId, ClaimRecord>(),
    claimExpiry: defineOrdered<ClaimExpiryKey, true>(compareClaimExpiry),
    runningClaims: defineOrdered<RunningClaimKey, true>(compareRunningClaims),
    claimUsage: defineCell<ClaimUsage>({claims: 0, answerBytes: 0}),
    serviceCounts: defineOrdered<ServiceCountKey, ServiceTotals>(
      compareServiceCounts,
    ),
    countMarks: defineOrdered<CountMarkKey, CountMark>(compareCountMarks),
    sessions: defineMap<NodeId, EntrySession>(),
    sessionVersions: defineOrdered<SessionVersionKey, true>(
      compareBy('version', 'node'),
    ),
    sessionLeases: defineOrdered<SessionLeaseKey, true>(
      compareBy('leaseUntil', 'node'),
    ),
    directory: defineCell<DirectoryVersion>(NO_DIRECTORY_VERSION),
    directoryHistory: defineOrdered<number, DirectoryChange>(compareValues),
    leaderCandidates: defineMap<NodeId, LeaderCandidate>(),
    leaderLoads: defineOrdered<LeaderLoadKey, true>(
      compareBy('region', 'count', 'node'),
    ),
    ledSets: defineOrdered<LedSetKey, true>(compareBy('node', 'set')),
    setLeaders: defineMap<EndpointSetId, NodeId>(),
    assignmentPhase: defineCell<AssignmentPhase>({kind: 'idle'}),
    vacancies: defineMap<EndpointSetId, Vacancy>(),
    wantedAssignments: defineCell<readonly WantedAssignment[]>([]),
    pending: defineMap<PendingKey, PendingReply>(),
  };
}

/** The sections of a control daemon's board. */
export type ControlSections = ReturnType<typeof createControlSections>;

/** A controller of a control daemon's board. */
export type ControlController = AnyController<
  ControlSections,
  ControlObservation,
  ControlOrder
>;

/** A write that a controller with the named sections may return. */
export type ControlWrite<Writes extends keyof ControlSections> = Write<
  ControlSections,
  Writes,
  ControlOrder
>;

/** Defines a controller of a control daemon's board. */
export function defineControlController<
  Reads extends keyof ControlSections,
  Writes extends keyof ControlSections,
>(
  controller: Controller<
    ControlSections,
    ControlObservation,
    ControlOrder,
    Reads,
    Writes
  > & {readonly observes: readonly ControlObservation['kind'][]},
): ControlController {
  return defineController<
    ControlSections,
    ControlObservation,
    ControlOrder,
    Reads,
    Writes
  >(controller);
}
