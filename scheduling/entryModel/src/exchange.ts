import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  GrantId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';

import type {AllotmentAsk, AllotmentVerdict, ToldUses} from './allotment.js';
import type {EndpointAnnouncement} from './endpoint.js';
import type {EndpointTarget} from './request.js';

/**
 * Stands for any organisation in lines and grants ahead of demand. It does not
 * have the form of an identifier, so no organisation can bear it.
 */
export const ANY_ORGANISATION = '*' as OrganisationId;

/** Requests waiting in one entry for one tier and organisation. */
export interface WaitingLine {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
  /** How many of them are worth dispatching now. */
  readonly ready: number;
  /** How many are if the organisation has had less than its share. */
  readonly readyEarly: number;
  /** Endpoint time that the next one to be dispatched uses up. */
  readonly costMs: Milliseconds;
  /** Value expected of the next one for each millisecond of its cost. */
  readonly score: number;
  /** Further requests expected before the next report. */
  readonly expected: number;
  readonly oldestWaitMs: Milliseconds;
}

/** Requests of one entry running at one endpoint. */
export interface RunningCount {
  readonly endpoint: EndpointId;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** Slots of one line at one endpoint that an entry still holds. */
export interface UnspentSlots {
  readonly endpoint: EndpointId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
}

/** How fast an endpoint decodes, as an entry's streams saw it. */
export interface ReportedRate {
  readonly endpoint: EndpointId;
  readonly decodeMsPerToken: Milliseconds;
  /** How old the latest observation was when the report was sent. */
  readonly ageMs: Milliseconds;
}

/** What an entry suffered at an endpoint lately. */
export interface ReportedTrouble {
  readonly endpoint: EndpointId;
  /** Part of its dispatches that failed, with older ones fading. */
  readonly failureShare: number;
  /** Whether it could not be connected to within the last second. */
  readonly isUnreachable: boolean;
}

/** Everything an entry holds of one set; a later report replaces it. */
export interface DemandReport {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Rises with every report of this entry for the set. */
  readonly sequence: number;
  readonly waiting: readonly WaitingLine[];
  readonly running: readonly RunningCount[];
  readonly unspent: readonly UnspentSlots[];
  readonly rates: readonly ReportedRate[];
  readonly troubles?: readonly ReportedTrouble[];
  /** Digest of the endpoints that the entry knows of; 0 for none. */
  readonly endpointsDigest?: number;
}

/** The endpoints of a set that take work, as its leader knows them. */
export interface EndpointList {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Tells lists apart. */
  readonly digest: number;
  readonly endpoints: readonly ListedEndpoint[];
}

/** An endpoint that takes work. */
export interface ListedEndpoint {
  readonly target: EndpointTarget;
  readonly concurrency: number;
}

/** Leave to dispatch requests of one tier and organisation. */
export interface Grant {
  readonly id: GrantId;
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly target: EndpointTarget;
  readonly count: number;
}

/** An order to refuse waiting requests of one tier and organisation. */
export interface ShedOrder {
  readonly rank: number;
  readonly organisation: OrganisationId;
  readonly count: number;
  /** When the refused callers may try again. */
  readonly retryAfterMs: Milliseconds;
}

/** Grants against one demand report. */
export interface GrantReply {
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** The report the grants are based on. */
  readonly sequence: number;
  /** Counts the replies to one report, from 1. */
  readonly part: number;
  /** Time since the report arrived, part of the grants' lifetime. */
  readonly reportAgeMs: Milliseconds;
  /** How long the slots may be used, from now on. */
  readonly lifetimeMs: Milliseconds;
  readonly grants: readonly Grant[];
  readonly shed: readonly ShedOrder[];
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
      /** The report that is refused. */
      readonly sequence: number;
    }
  | {
      readonly kind: 'endpointAnnounced';
      readonly announcement: EndpointAnnouncement;
    }
  | {readonly kind: 'endpointLeft'; readonly endpoint: EndpointId}
  | {readonly kind: 'endpointsListed'; readonly list: EndpointList}
  | {readonly kind: 'allotmentAsk'; readonly ask: AllotmentAsk}
  | {readonly kind: 'allotmentVerdict'; readonly verdict: AllotmentVerdict}
  | {
      /** Asks for what an entry has used of the allotments of a keeper. */
      readonly kind: 'allotmentInquiry';
      readonly set: EndpointSetId;
      readonly epoch: number;
    }
  | {readonly kind: 'allotmentUses'; readonly told: ToldUses};

/** Slots an entry may use until their deadline. */
export interface Slot {
  readonly set: EndpointSetId;
  readonly epoch: number;
  readonly grant: Grant;
  readonly remaining: number;
  readonly deadline: MonotonicTime;
}

/** A waiting request and the slot it may use. */
export interface Match {
  readonly grant: GrantId;
  readonly target: EndpointTarget;
  readonly deadline: MonotonicTime;
}

/** The leader's record of one entry's latest report. */
export interface ReportRecord {
  readonly node: NodeId;
  readonly report: DemandReport;
  readonly receivedAt: MonotonicTime;
}
