import {
  compareBy,
  compareValues,
  defineCell,
  defineMap,
  defineOrdered,
} from '@gentianshunt/board';
import {ENDED_LEASE} from '@gentianshunt/clock';
import type {
  Instant,
  Lease,
  Milliseconds,
  MonotonicTime,
} from '@gentianshunt/clock';
import type {
  ConfigurationObject,
  EndpointOrder,
  ObjectKey,
} from '@gentianshunt/configuration';
import type {RateBucket} from '@gentianshunt/limits';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {
  ConfigurationReplacement,
  ControlQuery,
  CountReport,
  EntryDirectory,
  OperatorCommand,
  ServiceCount,
} from '@gentianshunt/messages';
import type {PatienceRecord, RequestClass} from '@gentianshunt/policy';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  GrantId,
  Identifier,
  NodeId,
  OrganisationId,
  PromptPartId,
  QuotaAccountId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {
  BrokenRun,
  EndpointCrash,
  Quarantine,
  QuarantineExchange,
  SoundPartKey,
  SoundUse,
} from './promptQuarantine.js';
import type {
  EntryQuotaKey,
  EntryQuotaUsage,
  OpenQuotaRequest,
  QuotaUsageState,
  ReportedEntry,
} from './quota.js';
import type {ClaimCompletion, OpenClaim} from './claimState.js';
import type {AllocationRound} from './allocationRound.js';
import type {KnownLimit, NamedLimit} from './endpointSignals.js';
import type {EndpointRecord, ReceivedAnnouncement} from './endpointRecord.js';
import type {EntryIdentity} from './identity.js';
import {createLeaveSections} from './leaveSections.js';
import {NOTHING_LOGGED} from './loggedState.js';
import type {LoggedState} from './loggedState.js';
import type {OrderEpoch, OrderExecutionState} from './endpointOrder.js';
import type {
  DemandReportingState,
  KnownOpenCapacity,
  ReplyPosition,
  SetUse,
} from './demandReportingState.js';
import type {
  DemandReportRecord,
  EndpointList,
  KnownEndpoints,
  GrantReply,
  Slot,
  SlotMatch,
} from './entryMessage.js';
import type {AdmittedRequest, Refusal, RequestState} from './request.js';
import type {Withdrawal} from './withdrawal.js';

/** The entry's lease and its session with the leading control daemon. */
export interface ControlStatus {
  /** The control daemon last known to lead. */
  readonly leader: NodeId | null;
  /** Version of the configuration that the entry holds. */
  readonly version: number;
  /** The lease under which the entry uses the configuration. */
  readonly lease: Lease;
  /** Sequence of the latest heartbeat. */
  readonly lastSequence: number;
  /** When the latest heartbeat was sent; `null` once it is answered. */
  readonly sentAt: Instant | null;
  readonly directory: EntryDirectory;
}

/** Whether the entry accepts new requests. */
export type ServiceState =
  | {readonly kind: 'serving'}
  | {readonly kind: 'draining'; readonly since: MonotonicTime};

/** Identifies a queue of waiting requests. */
export interface QueueKey {
  readonly set: EndpointSetId;
  readonly rank: number;
  readonly organisation: OrganisationId;
}

/** Sorts waiting requests by queue, then by arrival. */
export interface WaitingKey extends QueueKey {
  readonly arrivedAt: MonotonicTime;
  readonly request: RequestId;
}

/** How many requests a queue holds. */
export interface QueueLength {
  readonly count: number;
}

/** How often each entry was assigned to a caller as its first address. */
export interface AssignedAddresses {
  readonly since: MonotonicTime;
  readonly counts: ReadonlyMap<NodeId, number>;
}

/** Arrival rate of a queue's requests, as a decaying average. */
export interface ArrivalRate {
  readonly perSecond: number;
  readonly at: MonotonicTime;
}

/** Identifies this entry's requests of an organisation at an endpoint. */
export interface RunningKey {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly organisation: OrganisationId;
}

/** How many requests that share a `RunningKey` are running. */
export interface RunningRecord {
  readonly count: number;
}

/** Sorts slots by queue, then by grant. */
export interface SlotKey extends QueueKey {
  readonly grant: GrantId;
}

/** A set this entry leads. */
export interface LeadershipState {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /**
   * When this leader may start to grant; before, slots of the previous leader
   * may still be valid.
   */
  readonly grantsFrom: MonotonicTime;
}

/** Identifies an endpoint of a set. */
export interface EndpointKey {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
}

/** Identifies what is recorded of an entry for a set. */
export interface SetEntryKey {
  readonly set: EndpointSetId;
  readonly node: NodeId;
}

/** What a set leader granted to an entry since its latest demand report. */
export interface GrantsSinceReport {
  readonly set: EndpointSetId;
  readonly node: NodeId;
  /** Sequence of the report. */
  readonly sequence: number;
  /** Number of replies sent to the report. */
  readonly parts: number;
  readonly slots: readonly GrantedSlots[];
  /** Waiting requests that the entry had to shed since the report. */
  readonly shed: readonly ShedCount[];
}

/** Slots of one grant, as counted by the set leader. */
export interface GrantedSlots {
  readonly endpoint: EndpointId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** How many requests of a queue the entry had to shed. */
export interface ShedCount {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** Identifies an organisation in a set: its fair share and its limits. */
export interface FairShareKey {
  readonly set: EndpointSetId;
  readonly organisation: OrganisationId;
}

/** Tokens of a stream's answer at its latest progress event. */
export interface StreamProgress {
  readonly answerTokens: number;
  readonly at: MonotonicTime;
}

/** An endpoint's decoding speed, measured on this entry's streams. */
export interface ObservedDecodeRate {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly decodeMsPerToken: Milliseconds;
  readonly observedAt: MonotonicTime;
}

/** Failures of this entry's dispatches at an endpoint. */
export interface EndpointHealth {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  /** Fraction of the dispatches that failed, as a decaying average. */
  readonly failureRate: number;
  readonly observedAt: MonotonicTime;
  /** When a connection to the endpoint failed last. */
  readonly unreachableAt: MonotonicTime;
}

/** Sorts dispatched requests by when their endpoint counts as silent. */
export interface SilenceDeadlineKey {
  readonly silentAt: MonotonicTime;
  readonly request: RequestId;
}

/** An operator's command that is not in force yet. */
export interface PendingCommand {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly command: OperatorCommand;
  /** Version that contains the command; `null` until it is accepted. */
  readonly version: number | null;
}

/** An operator's query that the leading control daemon has not answered. */
export interface PendingQuery {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly query: ControlQuery;
}

/** A whole configuration that the control log has not stored yet. */
export interface PendingReplacement {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly replacement: ConfigurationReplacement;
}

/** A recent refusal, for operators' queries. */
export interface RefusalRecord {
  readonly number: number;
  readonly at: Date;
  readonly refusal: Refusal;
  /** `null` when the request was never admitted. */
  readonly request: AdmittedRequest | null;
}

/** State of the count reports of this process. */
export interface CountState {
  /** Sequence of the latest count report. */
  readonly lastSequence: number;
  /** The unacknowledged report, which is resent unchanged. */
  readonly open: CountReport | null;
  readonly sentAt: MonotonicTime;
}

/** Key of the counts of one month, tier, organisation and kind. */
export type CountKey = Identifier<'count'>;

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
      sentAt: null,
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
    arrivalRates: defineOrdered<QueueKey, ArrivalRate>(
      compareBy('set', 'rank', 'organisation'),
    ),
    dispatches: defineMap<DispatchId, RequestId>(),
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
    demandReporting: defineMap<EndpointSetId, DemandReportingState>(),
    /** When the process started. */
    startedAt: defineCell<MonotonicTime>(Number.POSITIVE_INFINITY),
    leaderships: defineMap<EndpointSetId, LeadershipState>(),
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
    limitBuckets: defineOrdered<FairShareKey, RateBucket>(
      compareBy('set', 'organisation'),
    ),
    fairShares: defineOrdered<FairShareKey, number>(
      compareBy('set', 'organisation'),
    ),
    streamProgress: defineMap<DispatchId, StreamProgress>(),
    decodeRates: defineMap<EndpointId, ObservedDecodeRate>(),
    endpointHealth: defineMap<EndpointId, EndpointHealth>(),
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
    soundParts: defineMap<PromptPartId, SoundUse>(),
    /** This entry's requests that failed endpoints ended, the latest last. */
    brokenRuns: defineCell<readonly BrokenRun[]>([]),
    /** Failed endpoints that entries reported to this one, the latest last. */
    endpointCrashes: defineCell<readonly EndpointCrash[]>([]),
    /** Sound answers that entries reported to this one. */
    reportedSoundParts: defineOrdered<SoundPartKey, SoundUse>(
      compareBy('part', 'node'),
    ),
    quarantines: defineMap<PromptPartId, Quarantine>(),
    quarantineExchange: defineCell<QuarantineExchange>({
      hasRequested: false,
      sentAt: Number.NEGATIVE_INFINITY,
    }),
    commands: defineMap<RequestId, PendingCommand>(),
    queries: defineMap<RequestId, PendingQuery>(),
    replacements: defineMap<RequestId, PendingReplacement>(),
    quotaUsage: defineMap<QuotaAccountId, QuotaUsageState>(),
    openQuotaRequests: defineMap<RequestId, OpenQuotaRequest>(),
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
    openEndpointOrders: defineMap<EndpointId, EndpointOrder>(),
    orderExecutions: defineMap<EndpointId, OrderExecutionState>(),
    orderEpochs: defineMap<EndpointSetId, OrderEpoch>(),
  };
}

/** The sections of an entry's board. */
export type EntrySections = ReturnType<typeof createEntrySections>;
