import {
  compareBy,
  compareValues,
  defineCell,
  defineMap,
  defineOrdered,
} from '@gentianshunt/board';
import {ENDED_LEASE} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  ConfigurationObject,
  EndpointOrder,
  ObjectKey,
} from '@gentianshunt/configuration';
import type {RateBucket} from '@gentianshunt/limits';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {ServiceCount} from '@gentianshunt/messages';
import type {
  EventRate,
  PatienceRecord,
  RequestClass,
} from '@gentianshunt/policy';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  FingerprintId,
  NodeId,
  QuotaAccountId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {AllocationRound} from './allocationRound.js';
import type {ClaimCompletion, OpenClaim} from './claimState.js';
import type {
  ControlStatus,
  CountKey,
  CountState,
  ServiceState,
} from './controlStatus.js';
import type {
  DemandReportingState,
  KnownOpenCapacity,
  ReplyPosition,
  SetDemand,
  SetUse,
} from './demandReportingState.js';
import type {OrderEpoch, OrderExecutionState} from './endpointOrder.js';
import type {EndpointRecord, ReceivedAnnouncement} from './endpointRecord.js';
import type {KnownLimit, NamedLimit} from './endpointSignals.js';
import type {
  DemandReportRecord,
  EndpointList,
  GrantReply,
  KnownEndpoints,
  Slot,
  SlotMatch,
  UsedSlot,
} from './entryMessage.js';
import type {EntryIdentity} from './identity.js';
import type {GrantHold, LoggedGrantWait} from './grantHold.js';
import {createLeaveSections} from './leaveSections.js';
import {NOTHING_LOGGED} from './loggedState.js';
import {NO_HEARTBEATS} from './heartbeatTotals.js';
import type {HeartbeatTotals} from './heartbeatTotals.js';
import type {LoggedState} from './loggedState.js';
import type {
  EndpointHealth,
  ObservedDecodeRate,
  StreamProgress,
} from './measurementRecords.js';
import type {
  PendingCommand,
  PendingQuery,
  PendingReplacement,
  RefusalRecord,
} from './operatorRequests.js';
import type {
  BrokenRun,
  EndpointCrash,
  Quarantine,
  QuarantineExchange,
  SoundUseKey,
  SoundUse,
} from './quarantine.js';
import type {
  AssignedAddresses,
  QueueKey,
  QueueLength,
  RunningKey,
  RunningRecord,
  SilenceDeadlineKey,
  SlotKey,
  WaitingKey,
} from './queueRecords.js';
import type {
  EntryQuotaKey,
  EntryQuotaUsage,
  OpenQuotaRequest,
  QuotaUsageState,
  ReportedEntry,
} from './quota.js';
import {NO_REACH_EVIDENCE} from './reach.js';
import type {Reach, ReachEvidence} from './reach.js';
import type {AdmittedRequest, RequestState} from './request.js';
import type {
  EndpointKey,
  FairShareKey,
  GrantsSinceReport,
  InheritedEndpoints,
  LeadershipState,
  SetEntryKey,
  SlotOccupancy,
} from './setLeaderRecords.js';
import type {
  OriginHolders,
  OriginInquiry,
  RecordedOrigin,
  SeenSoftware,
} from './streamOrigin.js';
import type {Withdrawal} from './withdrawal.js';

/** Creates the sections of an entry's board. */
export function createEntrySections(identity: EntryIdentity) {
  return {
    identity: defineCell<EntryIdentity>(identity),
    service: defineCell<ServiceState>({kind: 'serving'}),
    control: defineCell<ControlStatus>({
      leader: null,
      version: 0,
      lease: ENDED_LEASE,
      lastSequence: 0,
      roundTripMs: null,
      heartbeats: [],
      directory: {version: NO_DIRECTORY_VERSION, entries: []},
    }),
    /** Nodes that may run the leading control daemon, likeliest first. */
    controlNodes: defineCell<readonly NodeId[]>(identity.controlNodes),
    configuration: defineMap<ObjectKey, ConfigurationObject>(),
    requests: defineMap<RequestId, RequestState>(),
    waiting: defineOrdered<WaitingKey, AdmittedRequest>(
      compareBy('set', 'rank', 'organisation', 'arrivedAt', 'request'),
    ),
    queues: defineOrdered<QueueKey, QueueLength>(
      compareBy('set', 'rank', 'organisation'),
    ),
    assignedAddresses: defineCell<AssignedAddresses>({
      since: Number.NEGATIVE_INFINITY,
      counts: new Map(),
    }),
    arrivalRates: defineOrdered<QueueKey, EventRate>(
      compareBy('set', 'rank', 'organisation'),
    ),
    dispatches: defineMap<DispatchId, RequestId>(),
    /** How fast this entry dispatches requests to each set. */
    dispatchRates: defineMap<EndpointSetId, EventRate>(),
    openClaims: defineMap<RequestId, OpenClaim>(),
    claimCompletions: defineMap<RequestId, ClaimCompletion>(),
    silenceDeadlines: defineOrdered<SilenceDeadlineKey, RequestId>(
      compareBy('silentAt', 'request'),
    ),
    running: defineOrdered<RunningKey, RunningRecord>(
      compareBy('set', 'endpoint', 'organisation'),
    ),
    slots: defineOrdered<SlotKey, Slot>(
      compareBy('set', 'rank', 'organisation', 'grant'),
    ),
    replyPositions: defineMap<EndpointSetId, ReplyPosition>(),
    acceptedReply: defineCell<GrantReply | null>(null),
    setUse: defineMap<EndpointSetId, SetUse>(),
    openCapacities: defineMap<EndpointSetId, KnownOpenCapacity>(),
    matches: defineMap<RequestId, SlotMatch>(),
    /** What the requests occupy that were matched to granted slots. */
    usedSlots: defineMap<RequestId, UsedSlot>(),
    /** What set leaders said last of the demand of all entries. */
    setDemands: defineMap<EndpointSetId, SetDemand>(),
    demandReporting: defineMap<EndpointSetId, DemandReportingState>(),
    /** When the process started. */
    startedAt: defineCell<MonotonicTime>(Number.POSITIVE_INFINITY),
    leaderships: defineMap<EndpointSetId, LeadershipState>(),
    /** Endpoints of led sets that have not announced to this entry yet. */
    inheritedEndpoints: defineMap<EndpointSetId, InheritedEndpoints>(),
    endpoints: defineOrdered<EndpointKey, EndpointRecord>(
      compareBy('set', 'endpoint'),
    ),
    /** The latest message from each endpoint, whatever its set. */
    announcements: defineMap<EndpointId, ReceivedAnnouncement>(),
    /** When this entry learnt which entry leads a set now. */
    leaderChanges: defineMap<EndpointSetId, MonotonicTime>(),
    /** Endpoints of led sets, as sent to the other entries. */
    endpointLists: defineMap<EndpointSetId, EndpointList>(),
    /** Endpoints of any set, as last received from its leader. */
    knownEndpoints: defineMap<EndpointSetId, KnownEndpoints>(),
    /** Endpoints that left. */
    withdrawnEndpoints: defineMap<EndpointId, Withdrawal>(),
    ...createLeaveSections(),
    /** Until when endpoints want nothing from this entry. */
    pausedEndpoints: defineMap<EndpointId, MonotonicTime>(),
    demandReports: defineOrdered<SetEntryKey, DemandReportRecord>(
      compareBy('set', 'node'),
    ),
    grantsSinceReport: defineOrdered<SetEntryKey, GrantsSinceReport>(
      compareBy('set', 'node'),
    ),
    allocationRounds: defineMap<EndpointSetId, AllocationRound>(),
    slotOccupancies: defineMap<EndpointSetId, SlotOccupancy>(),
    /** Led sets whose waiting requests are granted nothing. */
    grantHolds: defineMap<EndpointSetId, GrantHold>(),
    /** Sets in which requests of this entry wait long for a grant. */
    loggedGrantWaits: defineMap<EndpointSetId, LoggedGrantWait>(),
    limitBuckets: defineOrdered<FairShareKey, RateBucket>(
      compareBy('set', 'organisation'),
    ),
    fairShares: defineOrdered<FairShareKey, number>(
      compareBy('set', 'organisation'),
    ),
    streamProgress: defineMap<DispatchId, StreamProgress>(),
    decodeRates: defineMap<EndpointId, ObservedDecodeRate>(),
    endpointHealth: defineMap<EndpointId, EndpointHealth>(),
    /** Whether this entry can connect to endpoints. */
    reach: defineCell<Reach>({kind: 'reaching'}),
    reachEvidence: defineCell<ReachEvidence>(NO_REACH_EVIDENCE),
    /** Limits that endpoints named in answers to this entry. */
    namedLimits: defineMap<EndpointId, NamedLimit>(),
    /** What this entry may send to such endpoints without a grant. */
    ungrantedUse: defineMap<EndpointId, RateBucket>(),
    /** Limits of endpoints that entries reported to this one. */
    knownLimits: defineMap<EndpointId, KnownLimit>(),
    /** What a led set may still send to its limited endpoints. */
    endpointBuckets: defineMap<EndpointId, RateBucket>(),
    patience: defineMap<RequestClass, PatienceRecord>(),
    shedding: defineMap<EndpointSetId, boolean>(),
    /** Prompt parts with sound answers of this entry. */
    soundParts: defineMap<FingerprintId, SoundUse>(),
    /** Whole requests with sound answers of this entry, the latest last. */
    soundRequests: defineMap<FingerprintId, SoundUse>(),
    /** This entry's requests that failed endpoints ended, the latest last. */
    brokenRuns: defineCell<readonly BrokenRun[]>([]),
    /** Failed endpoints that entries reported to this one, the latest last. */
    endpointCrashes: defineCell<readonly EndpointCrash[]>([]),
    /** Sound answers that entries reported to this one. */
    reportedSoundUse: defineOrdered<SoundUseKey, SoundUse>(
      compareBy('fingerprint', 'node'),
    ),
    quarantines: defineMap<FingerprintId, Quarantine>(),
    quarantineExchange: defineCell<QuarantineExchange>({
      hasRequested: false,
      sentAt: Number.NEGATIVE_INFINITY,
    }),
    commands: defineMap<RequestId, PendingCommand>(),
    queries: defineMap<RequestId, PendingQuery>(),
    replacements: defineMap<RequestId, PendingReplacement>(),
    quotaUsage: defineMap<QuotaAccountId, QuotaUsageState>(),
    openQuotaRequests: defineMap<RequestId, OpenQuotaRequest>(),
    /** Until when requests wait for the permission to test a fingerprint. */
    awaitedTests: defineMap<RequestId, MonotonicTime>(),
    /** What began the streams of this entry, and others it keeps. */
    streamOrigins: defineMap<RequestId, RecordedOrigin>(),
    seenSoftware: defineMap<EndpointSetId, SeenSoftware>(),
    /** By the request that takes a stream up. */
    originInquiries: defineMap<RequestId, OriginInquiry>(),
    /** `null` before the first directory. */
    originHolders: defineCell<OriginHolders | null>(null),
    /** How long origins are kept; `null` before the first one is. */
    originMemoryMs: defineCell<Milliseconds | null>(null),
    /** Whether the timer for reports and inquiries runs. */
    isOriginTimerSet: defineCell<boolean>(false),
    /** Until when quota owners count as silent. */
    silentQuotaOwners: defineMap<NodeId, MonotonicTime>(),
    reportedEntries: defineOrdered<SetEntryKey, ReportedEntry>(
      compareBy('set', 'node'),
    ),
    /** Use of the quotas that this entry owns, by entry. */
    ownedQuotaUsage: defineOrdered<EntryQuotaKey, EntryQuotaUsage>(
      compareBy('account', 'node'),
    ),
    retryBudgets: defineMap<EndpointSetId, RateBucket>(),
    refusals: defineOrdered<number, RefusalRecord>(compareValues),
    countState: defineCell<CountState>({
      lastSequence: 0,
      open: null,
      sentAt: Number.NEGATIVE_INFINITY,
    }),
    counts: defineMap<CountKey, ServiceCount>(),
    /** The state that the decision log wrote last. */
    loggedState: defineCell<LoggedState>(NOTHING_LOGGED),
    heartbeatTotals: defineCell<HeartbeatTotals>(NO_HEARTBEATS),
    openEndpointOrders: defineMap<EndpointId, EndpointOrder>(),
    orderExecutions: defineMap<EndpointId, OrderExecutionState>(),
    orderEpochs: defineMap<EndpointSetId, OrderEpoch>(),
  };
}

/** The sections of an entry's board. */
export type EntrySections = ReturnType<typeof createEntrySections>;
