// Token quotas: messages to the quota owner, and what both sides record.
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointSetId,
  NodeId,
  QuotaAccountId,
  RequestId,
} from '@gentianshunt/identifiers';
import type {WindowSlices} from '@gentianshunt/limits';

/** Tokens that an entry used in a time slice. */
export interface ReportedUsage {
  /** Time from the end of the slice to the sending of the message. */
  readonly ageMs: Milliseconds;
  readonly tokens: number;
}

/**
 * Asks a quota owner whether one of its accounts covers a request. It lists
 * everything that the process used of the account within the window, which
 * replaces the owner's record of that time. So a new owner receives it too.
 */
export interface QuotaRequest {
  readonly account: QuotaAccountId;
  /** The set whose leader owns the account. */
  readonly set: EndpointSetId;
  readonly epoch: number;
  /** Rises with every quota request of this entry. */
  readonly sequence: number;
  readonly request: RequestId;
  readonly rank: number;
  readonly tokens: number;
  /** Includes this request and the ones with an open quota request. */
  readonly used: readonly ReportedUsage[];
  /** Time since the process started; it has no record of earlier use. */
  readonly coversMs: Milliseconds;
}

/** An entry's reply to a usage query of a quota owner. */
export interface QuotaUsageReport {
  readonly set: EndpointSetId;
  readonly epoch: number;
  readonly uses: readonly AccountUsage[];
  /** Time since the process started; it has no record of earlier use. */
  readonly coversMs: Milliseconds;
}

/** What an entry has used of an account. */
export interface AccountUsage {
  readonly account: QuotaAccountId;
  /** Sequence of the entry's latest quota request. */
  readonly sequence: number;
  readonly used: readonly ReportedUsage[];
}

/** An entry whose usage report has reached the quota owner. */
export interface ReportedEntry {
  readonly epoch: number;
  /** When the entry's process started, by the owner's clock. */
  readonly startedAt: MonotonicTime;
}

/** The quota owner's decision about a request. */
export interface QuotaDecision {
  readonly account: QuotaAccountId;
  readonly epoch: number;
  /** Sequence of the quota request. */
  readonly sequence: number;
  readonly request: RequestId;
  readonly isCovered: boolean;
  /** Time until the account may cover it; 0 if it does already. */
  readonly retryAfterMs: Milliseconds;
  /** Prepaid tokens: the entry may use them without asking the owner. */
  readonly spareTokens: number;
  /** Tokens used by all entries within the window, with this request. */
  readonly usedTokens: number;
  /** Tokens of the window that requests of this rank may use. */
  readonly limitTokens: number;
}

/** Tokens that an entry may use without asking the quota owner. */
export interface PrepaidTokens {
  readonly tokens: number;
  readonly until: MonotonicTime;
}

/** What this entry has used of an account. */
export interface QuotaUsageState {
  /**
   * Sequence of the latest quota request; above all sequences of earlier
   * processes of this entry.
   */
  readonly sequence: number;
  readonly slices: WindowSlices;
  readonly prepaid: PrepaidTokens;
  /** The earliest quota request without a decision; `null` if none is open. */
  readonly unanswered: SentQuotaRequest | null;
  /** The smoothed time to a decision; `null` before the first. */
  readonly roundTripMs: Milliseconds | null;
}

/** A quota request that was sent to the owner of an account. */
export interface SentQuotaRequest {
  readonly sequence: number;
  readonly requestedAt: MonotonicTime;
}

/** A request that waits for the decisions of quota owners. */
export type OpenQuotaRequest =
  | {
      readonly kind: 'asking';
      readonly request: RequestId;
      /** The owners that were asked and have not decided. */
      readonly asked: readonly AskedQuotaOwner[];
      /** What the other accounts of the organisation have answered before. */
      readonly denials: readonly QuotaDenial[];
    }
  /** The owners deferred the request; they are asked again later. */
  | {
      readonly kind: 'deferred';
      readonly request: RequestId;
      readonly retryAt: MonotonicTime;
    };

/** An owner that was asked whether its account covers a request. */
export interface AskedQuotaOwner {
  readonly account: QuotaAccountId;
  readonly owner: NodeId;
  readonly requestedAt: MonotonicTime;
  /** When the next owner is asked beside this one. */
  readonly lateAt: MonotonicTime;
}

/** The answer of an owner that its account does not cover a request. */
export interface QuotaDenial {
  readonly account: QuotaAccountId;
  readonly owner: NodeId;
  readonly usedTokens: number;
  readonly limitTokens: number;
  readonly retryAfterMs: Milliseconds;
}

/** What a quota owner has recorded of one entry's use. */
export interface EntryQuotaUsage {
  readonly sequence: number;
  /** When the entry's process started, by the owner's clock. */
  readonly startedAt: MonotonicTime;
  /** Use by earlier processes of the entry. */
  readonly earlier: WindowSlices;
  /** Use by the entry's current process. */
  readonly slices: WindowSlices;
}

/** Identifies what an entry uses of an account. */
export interface EntryQuotaKey {
  readonly account: QuotaAccountId;
  readonly node: NodeId;
}
