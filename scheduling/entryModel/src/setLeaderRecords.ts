/** Keys and records of the sets that an entry leads. */
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';

import type {ListedEndpoint} from './entryMessage.js';

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

/**
 * The endpoints of a set as its previous leader listed them. They count for a new
 * leader until they announce themselves to it.
 */
export interface InheritedEndpoints {
  readonly endpoints: readonly ListedEndpoint[];
  /** Digest of the list, with which entries that hold it report. */
  readonly digest: number;
  /** Until when they count without an announcement. */
  readonly until: MonotonicTime;
}

/** How the slots of a set are used, as its leader measures it. */
export interface SlotOccupancy {
  /** Slots that it counts as occupied, on average. */
  readonly mean: number;
  /** Slots granted for each request that endpoints process at once. */
  readonly stretch: number;
  readonly at: MonotonicTime;
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
