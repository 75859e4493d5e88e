import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointSetId,
  NodeId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';
import type {WindowSlices} from '@gentianshunt/limits';

/** Tokens that an entry used in a slice of time. */
export interface ReportedUse {
  /** Age of the slice's end when the message was sent. */
  readonly ageMs: Milliseconds;
  readonly tokens: number;
}

/**
 * Asks the keeper of an organisation's allotment whether it covers a request.
 * It tells all that the process has used within the window, which replaces what
 * the keeper knew of that time, so that a new keeper learns it as well.
 */
export interface AllotmentAsk {
  readonly organisation: OrganisationId;
  /** The set whose leader keeps the allotment. */
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Rises with every ask of this entry. */
  readonly sequence: number;
  readonly request: RequestId;
  readonly rank: number;
  readonly tokens: number;
  /** With the tokens of this request and of those still asked for. */
  readonly used: readonly ReportedUse[];
  /** Time since the process started; it knows of no use before. */
  readonly coversMs: Milliseconds;
}

/** What an entry has used of the allotments of a keeper that asks for it. */
export interface ToldUses {
  readonly set: EndpointSetId;
  readonly epoch: number;
  readonly uses: readonly OrganisationUse[];
  /** Time since the process started; it knows of no use before. */
  readonly coversMs: Milliseconds;
}

/** What an entry has used of an organisation's allotment. */
export interface OrganisationUse {
  readonly organisation: OrganisationId;
  /** Of the entry's latest ask. */
  readonly sequence: number;
  readonly used: readonly ReportedUse[];
}

/** An entry that has told a keeper its uses. */
export interface HeardEntry {
  readonly epoch: number;
  /** When the entry's process started, by the keeper's clock. */
  readonly startedAt: MonotonicTime;
}

/** What the keeper of an allotment decided about a request. */
export interface AllotmentVerdict {
  readonly organisation: OrganisationId;
  readonly epoch: number;
  /** Of the ask. */
  readonly sequence: number;
  readonly request: RequestId;
  readonly isCovered: boolean;
  /** When the allotment may cover it; 0 if it does already. */
  readonly retryAfterMs: Milliseconds;
  /** Tokens that the entry may use next without asking. */
  readonly spareTokens: number;
  /** Used by all entries within the window, this request included. */
  readonly usedTokens: number;
  /** What requests of this rank may fill at present. */
  readonly limitTokens: number;
}

/** Tokens that an entry may use without asking. */
export interface SpareTokens {
  readonly tokens: number;
  readonly until: MonotonicTime;
}

/** What an entry has used of an allotment. */
export interface AllotmentState {
  /** Of the latest ask; above those of an earlier start of the process. */
  readonly sequence: number;
  readonly slices: WindowSlices;
  readonly spare: SpareTokens;
}

/** A request that waits for the keeper of an allotment. */
export interface OpenAsk {
  readonly request: RequestId;
  readonly organisation: OrganisationId;
  readonly keeper: NodeId;
  readonly askedAt: MonotonicTime;
  /** When to ask again, once the keeper has put it off; else `null`. */
  readonly askAgainAt: MonotonicTime | null;
}

/** What the keeper of an allotment knows of one entry's use. */
export interface AllotmentRecord {
  readonly sequence: number;
  /** When the entry's process started, by the keeper's clock. */
  readonly startedAt: MonotonicTime;
  /** What earlier processes of the entry had used. */
  readonly earlier: WindowSlices;
  readonly slices: WindowSlices;
}

/** Identifies an entry's use of an allotment at its keeper. */
export interface AllotmentKey {
  readonly organisation: OrganisationId;
  readonly node: NodeId;
}
