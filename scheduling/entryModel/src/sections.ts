import {
  compareBy,
  compareValues,
  defineCell,
  defineMap,
  defineOrdered,
} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  ConfigurationObject,
  EndpointOrder,
  ObjectKey,
} from '@gentianshunt/configuration';
import type {RateBucket} from '@gentianshunt/limits';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {
  ClaimKey,
  ClaimOutcome,
  ControlQuery,
  CountReport,
  EntryDirectory,
  NetworkAddress,
  OperatorCommand,
  Replacement,
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
  RequestId,
} from '@gentianshunt/identifiers';

import type {
  AllotmentKey,
  AllotmentRecord,
  AllotmentState,
  HeardEntry,
  OpenAsk,
} from './allotment.js';
import type {EndpointRecord, HeardAnnouncement} from './endpointRecord.js';
import type {EntryIdentity} from './identity.js';
import {NOTHING_TOLD} from './toldState.js';
import type {ToldState} from './toldState.js';
import type {OrderEpoch, OrderRunState} from './endpointOrder.js';
import type {
  EndpointList,
  GrantReply,
  Match,
  ReportRecord,
  Slot,
} from './exchange.js';
import type {AdmittedRequest, Refusal, RequestState} from './request.js';

/** Where the entry stands with the control daemons. */
export interface ControlStatus {
  /** The control daemon last known to lead. */
  readonly leader: NodeId | null;
  readonly version: number;
  /** Until when the configuration may be relied on. */
  readonly leaseUntil: MonotonicTime;
  readonly lastSequence: number;
  /** When the open heartbeat was sent; minus infinity when none is open. */
  readonly sentAt: MonotonicTime;
  readonly directory: EntryDirectory;
}

/** Whether the entry takes new requests. */
export type ServiceState =
  | {readonly kind: 'serving'}
  | {readonly kind: 'draining'; readonly since: MonotonicTime};

/** Identifies a line of waiting requests. */
export interface LineKey {
  readonly set: EndpointSetId;
  readonly rank: number;
  readonly organisation: OrganisationId;
}

/** Orders waiting requests; those of a line stand together. */
export interface WaitingKey extends LineKey {
  readonly arrivedAt: MonotonicTime;
  readonly request: RequestId;
}

/** How many requests stand in a line. */
export interface LineCount {
  readonly count: number;
}

/** How often each entry was given to callers as their first address. */
export interface GivenAddresses {
  readonly since: MonotonicTime;
  readonly counts: ReadonlyMap<NodeId, number>;
}

/** How fast requests of a line arrive, as a decaying average. */
export interface ArrivalRate {
  readonly perSecond: number;
  readonly at: MonotonicTime;
}

/** Identifies what an entry runs at an endpoint for an organisation. */
export interface RunningKey {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly organisation: OrganisationId;
}

/** How many requests run at an endpoint for an organisation. */
export interface RunningRecord {
  readonly count: number;
}

/** Identifies slots; those for a line stand together. */
export interface SlotKey extends LineKey {
  readonly grant: GrantId;
}

/**
 * How soon a change must be reported: `urgent` when a slot is wanted,
 * `lazy` when only the leader's counts are out of date.
 */
export type ReportUrgency = 'none' | 'lazy' | 'urgent';

/** The entry's exchange with the leader of one set. */
export interface ExchangeState {
  readonly set: EndpointSetId;
  readonly sequence: number;
  readonly epoch: number;
  readonly sentAt: MonotonicTime;
  /** Whether a reply to the latest report is still awaited. */
  readonly inFlight: boolean;
  /** What changed since the latest report. */
  readonly urgency: ReportUrgency;
  /** Reports in a row that were lost or refused. */
  readonly failures: number;
  /** Lazy reports that may be sent early. */
  readonly credit: number;
  /** Lines, counts and slot groups in the latest report. */
  readonly items: number;
}

/** Highest reply part taken for each set's latest report. */
export interface ReplyMark {
  readonly sequence: number;
  readonly part: number;
}

/** A set this entry leads. */
export interface LeadershipState {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Before this instant slots of the previous leader may be alive. */
  readonly grantsFrom: MonotonicTime;
}

/** Identifies an endpoint of a set. */
export interface EndpointKey {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
}

/** Identifies an entry's report for a set. */
export interface ReportKey {
  readonly set: EndpointSetId;
  readonly node: NodeId;
}

/** Slots granted to one entry since its latest report. */
export interface GrantedSince {
  readonly set: EndpointSetId;
  readonly node: NodeId;
  readonly sequence: number;
  readonly parts: number;
  readonly slots: readonly GrantedSlots[];
  /** Waiting requests ordered shed since the report. */
  readonly shed: readonly ShedCount[];
}

/** Slots of one grant, as the leader counts them. */
export interface GrantedSlots {
  readonly endpoint: EndpointId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** Requests ordered shed from one line. */
export interface ShedCount {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** Identifies an organisation's share of a set. */
export interface ShareKey {
  readonly set: EndpointSetId;
  readonly organisation: OrganisationId;
}

/** How far a stream had come when it last told. */
export interface StreamProgress {
  readonly answerTokens: number;
  readonly at: MonotonicTime;
}

/** How fast an endpoint decodes, as this entry's streams saw it. */
export interface LearnedRate {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly decodeMsPerToken: Milliseconds;
  readonly observedAt: MonotonicTime;
}

/** How an endpoint has treated this entry's dispatches. */
export interface EndpointHealth {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  /** Part of the dispatches that failed, as a decaying average. */
  readonly failureShare: number;
  readonly observedAt: MonotonicTime;
  /** When it could last not be connected to. */
  readonly unreachableAt: MonotonicTime;
}

/** A claim that the control log has not answered yet. */
export interface OpenClaim {
  readonly startedAt: MonotonicTime;
  readonly askedAt: MonotonicTime;
  /** How often the control log has been asked. */
  readonly asks: number;
}

/** The outcome of a claimed request on its way to the control log. */
export interface Settlement {
  readonly key: ClaimKey;
  readonly request: RequestId;
  readonly outcome: ClaimOutcome;
  readonly endedAt: MonotonicTime;
  readonly sentAt: MonotonicTime;
  /** When the control log confirmed it; `null` before. */
  readonly confirmedAt: MonotonicTime | null;
}

/** Orders dispatched requests by the time their endpoint counts as silent. */
export interface SilenceKey {
  readonly silentAt: MonotonicTime;
  readonly request: RequestId;
}

/** An operator's command on its way through the control log. */
export interface PendingCommand {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly command: OperatorCommand;
  /** Version that brings the command into force, once it is accepted. */
  readonly version: number | null;
}

/** An operator's query on its way to the leading control daemon. */
export interface PendingQuery {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly query: ControlQuery;
}

/** A configuration on its way to the control log. */
export interface PendingReplacement {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly replacement: Replacement;
}

/** A recent refusal, as operators see it. */
export interface RefusalRecord {
  readonly number: number;
  readonly at: Date;
  readonly refusal: Refusal;
  /** `null` when the request was never admitted. */
  readonly request: AdmittedRequest | null;
}

/** What this incarnation has counted and not yet seen acknowledged. */
export interface CountState {
  readonly lastSequence: number;
  /** Repeated unchanged until it is acknowledged. */
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
      leaseUntil: Number.NEGATIVE_INFINITY,
      lastSequence: 0,
      sentAt: Number.NEGATIVE_INFINITY,
      directory: {version: NO_DIRECTORY_VERSION, entries: []},
    }),
    /** Where the control log may be found, the most likely nodes first. */
    controls: defineCell<readonly NodeId[]>(identity.controls),
    configuration: defineMap<ObjectKey, ConfigurationObject>(),
    requests: defineMap<RequestId, RequestState>(),
    waiting: defineOrdered<WaitingKey, AdmittedRequest>(
      compareBy('set', 'rank', 'organisation', 'arrivedAt', 'request'),
    ),
    lines: defineOrdered<LineKey, LineCount>(
      compareBy('set', 'rank', 'organisation'),
    ),
    givenAddresses: defineCell<GivenAddresses>({
      since: Number.NEGATIVE_INFINITY,
      counts: new Map(),
    }),
    arrivalRates: defineOrdered<LineKey, ArrivalRate>(
      compareBy('set', 'rank', 'organisation'),
    ),
    dispatches: defineMap<DispatchId, RequestId>(),
    openClaims: defineMap<RequestId, OpenClaim>(),
    settlements: defineMap<RequestId, Settlement>(),
    silences: defineOrdered<SilenceKey, RequestId>(
      compareBy('silentAt', 'request'),
    ),
    running: defineOrdered<RunningKey, RunningRecord>(
      compareBy('set', 'endpoint', 'organisation'),
    ),
    slots: defineOrdered<SlotKey, Slot>(
      compareBy('set', 'rank', 'organisation', 'grant'),
    ),
    replyMarks: defineMap<EndpointSetId, ReplyMark>(),
    acceptedReply: defineCell<GrantReply | null>(null),
    matches: defineMap<RequestId, Match>(),
    exchanges: defineMap<EndpointSetId, ExchangeState>(),
    /** When the process started to lead sets. */
    startedAt: defineCell<MonotonicTime>(Number.POSITIVE_INFINITY),
    leaderships: defineMap<EndpointSetId, LeadershipState>(),
    endpoints: defineOrdered<EndpointKey, EndpointRecord>(
      compareBy('set', 'endpoint'),
    ),
    /** What endpoints of any set have told this entry lately. */
    announcements: defineMap<EndpointId, HeardAnnouncement>(),
    /** When this entry learnt who leads a set. */
    leaderChanges: defineMap<EndpointSetId, MonotonicTime>(),
    /** Endpoints of led sets, as they are told to the other entries. */
    endpointLists: defineMap<EndpointSetId, EndpointList>(),
    /** Endpoints of any set, as its leader told them last. */
    knownEndpoints: defineMap<EndpointSetId, EndpointList>(),
    reports: defineOrdered<ReportKey, ReportRecord>(compareBy('set', 'node')),
    granted: defineOrdered<ReportKey, GrantedSince>(compareBy('set', 'node')),
    limitBuckets: defineOrdered<ShareKey, RateBucket>(
      compareBy('set', 'organisation'),
    ),
    shares: defineOrdered<ShareKey, number>(compareBy('set', 'organisation')),
    progress: defineMap<DispatchId, StreamProgress>(),
    endpointRates: defineMap<EndpointId, LearnedRate>(),
    endpointHealth: defineMap<EndpointId, EndpointHealth>(),
    patience: defineMap<RequestClass, PatienceRecord>(),
    shedding: defineMap<EndpointSetId, boolean>(),
    commands: defineMap<RequestId, PendingCommand>(),
    queries: defineMap<RequestId, PendingQuery>(),
    replacements: defineMap<RequestId, PendingReplacement>(),
    allotments: defineMap<OrganisationId, AllotmentState>(),
    openAsks: defineMap<RequestId, OpenAsk>(),
    /** Until when keepers of allotments count as silent. */
    silentKeepers: defineMap<NodeId, MonotonicTime>(),
    heardEntries: defineOrdered<ReportKey, HeardEntry>(
      compareBy('set', 'node'),
    ),
    /** Use of the allotments that this entry keeps. */
    keptAllotments: defineOrdered<AllotmentKey, AllotmentRecord>(
      compareBy('organisation', 'node'),
    ),
    retryBudgets: defineMap<EndpointSetId, RateBucket>(),
    refusals: defineOrdered<number, RefusalRecord>(compareValues),
    countState: defineCell<CountState>({
      lastSequence: 0,
      open: null,
      sentAt: Number.NEGATIVE_INFINITY,
    }),
    counts: defineMap<CountKey, ServiceCount>(),
    /** What the decision log has told last. */
    told: defineCell<ToldState>(NOTHING_TOLD),
    openOrders: defineMap<EndpointId, EndpointOrder>(),
    orderRuns: defineMap<EndpointId, OrderRunState>(),
    orderEpochs: defineMap<EndpointSetId, OrderEpoch>(),
  };
}

/** The sections of an entry's board. */
export type EntrySections = ReturnType<typeof createEntrySections>;

/** Finds the address of an entry in the directory. */
export function findEntryAddress(
  directory: EntryDirectory,
  node: NodeId,
): NetworkAddress | undefined {
  return directory.entries.find(entry => entry.address.node === node)?.address
    .peer;
}
