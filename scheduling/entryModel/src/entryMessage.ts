// The messages between entries, and what their receivers record of them.
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  FingerprintId,
  GrantId,
  NodeId,
  OrganisationId,
  PromptPartId,
} from '@gentianshunt/identifiers';

import type {ReportedLimit} from './endpointSignals.js';
import type {GrantObstacle} from './grantHold.js';
import type {
  ReportedBrokenRun,
  ReportedQuarantine,
  ReportedSoundUse,
} from './quarantine.js';
import type {QuotaDecision, QuotaRequest, QuotaUsageReport} from './quota.js';
import type {EndpointAnnouncement} from './endpoint.js';
import type {EndpointTarget} from './request.js';
import type {LeaveLogPosition, ReportedLeave} from './leaveRecord.js';
import type {OriginMessage} from './originMessage.js';
import type {LeftIncarnation} from './withdrawal.js';

/**
 * Stands for any organisation in the queues and grants of advance slots. It is
 * not a valid identifier, so no organisation can have this name.
 */
export const ANY_ORGANISATION = '*' as OrganisationId;

/** One queue of an entry: the waiting requests of a tier and organisation. */
export interface QueueDemand {
  readonly rank: number;
  readonly organisation: OrganisationId;
  /** Waiting requests. */
  readonly count: number;
  /** How many of them are worth dispatching now. */
  readonly ready: number;
  /** The same, if the organisation is below its fair share. */
  readonly readyEarly: number;
  /** Endpoint time that the next request is estimated to use. */
  readonly costMs: Milliseconds;
  /** Expected value of the next request for each millisecond of its cost. */
  readonly score: number;
  /** Further requests expected before the next demand report. */
  readonly expected: number;
  readonly oldestWaitMs: Milliseconds;
  /**
   * Time to the first byte for which the next request aims; `null` without one.
   */
  readonly objectiveMs: Milliseconds | null;
  /** Last shared part of the next request's prompt; `null` without one. */
  readonly part: PromptPartId | null;
}

/** Requests of one entry running at one endpoint. */
export interface RunningCount {
  readonly endpoint: EndpointId;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** Unused slots of an entry, for one queue at one endpoint. */
export interface UnspentSlots {
  readonly endpoint: EndpointId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** An endpoint's decoding speed, measured on the streams of an entry. */
export interface ReportedDecodeRate {
  readonly endpoint: EndpointId;
  readonly decodeMsPerToken: Milliseconds;
  /** Age of the latest measurement when the report was sent. */
  readonly ageMs: Milliseconds;
}

/** An entry's recent failures at an endpoint. */
export interface ReportedFailures {
  readonly endpoint: EndpointId;
  /** Failure rate of its dispatches, from 0 to 1, as a decaying average. */
  readonly failureShare: number;
  /** Whether a connection to it failed within the last second. */
  readonly isUnreachable: boolean;
}

/** An entry's demand for and use of a set; replaces its earlier reports. */
export interface DemandReport {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Rises with every demand report of this entry for the set. */
  readonly sequence: number;
  readonly waiting: readonly QueueDemand[];
  readonly running: readonly RunningCount[];
  readonly unspent: readonly UnspentSlots[];
  readonly rates: readonly ReportedDecodeRate[];
  /** Failure rates of endpoints. */
  readonly troubles?: readonly ReportedFailures[];
  /** Digest of the entry's endpoint list; 0 if it has none. */
  readonly endpointsDigest?: number;
  /** Mean number of running requests. */
  readonly meanRunning: number;
  /** Time from a report to its reply, as a moving average; 0 if unknown. */
  readonly roundTripMs: Milliseconds;
}

/** The endpoints of a set that accept requests, listed by its leader. */
export interface EndpointList {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Hash of the list, to detect changes. */
  readonly digest: number;
  readonly endpoints: readonly ListedEndpoint[];
}

/** The endpoint list of a set that an entry received last. */
export interface KnownEndpoints extends EndpointList {
  readonly receivedAt: MonotonicTime;
}

/** An endpoint that accepts requests. */
export interface ListedEndpoint {
  readonly target: EndpointTarget;
  readonly concurrency: number;
}

/** Permission to dispatch requests of one tier and organisation. */
export interface Grant {
  readonly id: GrantId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly target: EndpointTarget;
  readonly count: number;
}

/** Instructs an entry to refuse waiting requests of a tier and organisation. */
export interface ShedInstruction {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
  /** When the refused callers may try again. */
  readonly retryAfterMs: Milliseconds;
}

/** Capacity that an entry may use without slots while a set is lightly used. */
export interface OpenCapacity {
  readonly targets: readonly EndpointTarget[];
  /** Most requests that the entry may run in the set. */
  readonly limit: number;
  /** Shortest time between two lazy demand reports. */
  readonly reportIntervalMs: Milliseconds;
}

/** A set leader's grants for one demand report. */
export interface GrantReply {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Sequence of the demand report that the grants answer. */
  readonly sequence: number;
  /** Number of this reply among those to the same report, from 1. */
  readonly part: number;
  /**
   * Time from the arrival of the report to the sending of this reply. The entry
   * adds it to the lifetime, because it counts from when it sent the report.
   */
  readonly reportAgeMs: Milliseconds;
  /** How long the slots may be used from the sending of this reply. */
  readonly lifetimeMs: Milliseconds;
  readonly grants: readonly Grant[];
  readonly shed: readonly ShedInstruction[];
  /** What the entry may use without slots; `null` if the set is not open. */
  readonly open: OpenCapacity | null;
  /**
   * The highest tier of which requests of the set still wait, at any entry;
   * `null` if none do.
   */
  readonly waitingRank: number | null;
  /** Why the leader can't grant to any entry now; `null` if it can. */
  readonly obstacle: GrantObstacle | null;
}

/** Messages between entries. */
export type EntryMessage =
  | {readonly kind: 'demandReport'; readonly report: DemandReport}
  | {readonly kind: 'grantReply'; readonly reply: GrantReply}
  | {
      readonly kind: 'notSetLeader';
      readonly set: EndpointSetId;
      /** The epoch in which the sender leads the set; 0 when it does not. */
      readonly epoch: number;
      /** Sequence of the demand report that is refused. */
      readonly sequence: number;
    }
  | {
      readonly kind: 'endpointAnnounced';
      readonly announcement: EndpointAnnouncement;
    }
  | {
      readonly kind: 'endpointLeft';
      readonly endpoint: EndpointId;
      readonly left: LeftIncarnation;
      readonly isConfirmationRequested: boolean;
    }
  | {
      /** The sender knows of a leave that this entry notified it of. */
      readonly kind: 'leaveConfirmed';
      readonly endpoint: EndpointId;
      readonly left: LeftIncarnation;
    }
  | {
      /** Asks an entry what it has learnt of leaves since it was asked last. */
      readonly kind: 'withdrawalsRequested';
      /** Number of the request, which the reply repeats. */
      readonly request: number;
      /** How far the sender has read the receiver's log; `null` if not at all. */
      readonly after: LeaveLogPosition | null;
      /** Digest of the sender's records. */
      readonly digest: number;
      /** Position of the sender's own log. */
      readonly own: LeaveLogPosition;
    }
  | {
      readonly kind: 'withdrawalsReported';
      readonly request: number;
      /** How far the receiver has read the sender's log with this reply. */
      readonly position: LeaveLogPosition;
      /** Whether the sender knows nothing else. */
      readonly isComplete: boolean;
      /** Whether the sender is not about to catch up itself. */
      readonly isCurrent: boolean;
      readonly withdrawals: readonly ReportedLeave[];
    }
  | {readonly kind: 'endpointsListed'; readonly list: EndpointList}
  | {readonly kind: 'quotaRequest'; readonly request: QuotaRequest}
  | {readonly kind: 'quotaDecision'; readonly decision: QuotaDecision}
  | {
      /** Usage query: a quota owner asks an entry for its usage report. */
      readonly kind: 'quotaUsageQuery';
      readonly set: EndpointSetId;
      readonly epoch: number;
    }
  | {readonly kind: 'quotaUsageReport'; readonly report: QuotaUsageReport}
  | {
      /** Limits that endpoints of a set named in answers to an entry. */
      readonly kind: 'endpointLimitsReported';
      readonly set: EndpointSetId;
      readonly limits: readonly ReportedLimit[];
    }
  | {
      /** Requests of a set that were at endpoints which failed. */
      readonly kind: 'brokenRunsReported';
      readonly set: EndpointSetId;
      readonly runs: readonly ReportedBrokenRun[];
    }
  | {
      readonly kind: 'soundUseReported';
      readonly uses: readonly ReportedSoundUse[];
    }
  | {
      readonly kind: 'quarantinesReported';
      readonly quarantines: readonly ReportedQuarantine[];
      readonly isReplyRequested: boolean;
    }
  | {
      /** Asks for permission to run one request with a quarantined fingerprint. */
      readonly kind: 'quarantineTestRequested';
      readonly fingerprint: FingerprintId;
    }
  | OriginMessage;

/** Slots an entry may use until their deadline. */
export interface Slot {
  readonly set: EndpointSetId;
  readonly epoch: number;
  readonly grant: Grant;
  readonly remaining: number;
  /** When the set leader granted it, or shortly before. */
  readonly grantedAt: MonotonicTime;
  readonly deadline: MonotonicTime;
}

/** The slot that a waiting request may use. */
export interface SlotMatch {
  readonly grant: GrantId;
  readonly target: EndpointTarget;
  /** When the set leader reported that the endpoint accepts requests. */
  readonly stateAt: MonotonicTime;
  readonly deadline: MonotonicTime;
}

/** What a dispatched request occupies, so that another may follow it there. */
export interface UsedSlot {
  readonly set: EndpointSetId;
  readonly organisation: OrganisationId;
  readonly target: EndpointTarget;
  /** When the set leader granted the slot to its first request. */
  readonly grantedAt: MonotonicTime;
  /** When the present request was matched to it. */
  readonly usedAt: MonotonicTime;
  /**
   * Whether it goes back to the leader after this request. Reports leave it out
   * already, so that no time is lost until another request has it.
   */
  readonly isReturning: boolean;
}

/** The set leader's record of an entry's latest demand report. */
export interface DemandReportRecord {
  readonly node: NodeId;
  readonly report: DemandReport;
  readonly receivedAt: MonotonicTime;
}
