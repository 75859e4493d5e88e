/** What an entry records of its demand reports and the answers to them. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import type {OpenCapacity} from './entryMessage.js';

/**
 * How soon a change must be reported: `urgent` when a request needs a slot,
 * `lazy` when it only makes the leader's counts out of date.
 */
export type DemandReportUrgency = 'none' | 'lazy' | 'urgent';

/** State of the entry's demand reports to the leader of a set. */
export interface DemandReportingState {
  readonly set: EndpointSetId;
  readonly sequence: number;
  readonly epoch: number;
  readonly sentAt: MonotonicTime;
  /** Whether the latest report is unanswered. */
  readonly inFlight: boolean;
  /** When the first change since the latest report happened, else `sentAt`. */
  readonly changedAt: MonotonicTime;
  /** How soon the changes since the latest report must be reported. */
  readonly urgency: DemandReportUrgency;
  /** Consecutive reports that were lost or refused. */
  readonly failures: number;
  /** Number of lazy reports that may be sent before their interval ends. */
  readonly credit: number;
  /** Number of queues, counts and slot groups in the latest report. */
  readonly items: number;
  /** Capacity that the set leader counts as occupied by this entry. */
  readonly held: number;
  /** Time from a report to its reply, as a moving average; 0 if unknown. */
  readonly roundTripMs: Milliseconds;
  /** When the leader last replied; `null` if no leader has. */
  readonly repliedAt: MonotonicTime | null;
  /** Since when replies name an obstacle; `null` if the latest does not. */
  readonly obstructedSince: MonotonicTime | null;
  /** When a reply last granted slots; `null` if none has. */
  readonly grantedAt: MonotonicTime | null;
}

/** The latest grant reply that was accepted for a set. */
export interface ReplyPosition {
  /** Sequence of the demand report. */
  readonly sequence: number;
  /** Number of the reply among those to this report. */
  readonly part: number;
}

/** How many requests this entry runs in a set. */
export interface SetUse {
  readonly running: number;
  /** Mean number of running requests up to `at`. */
  readonly mean: number;
  readonly at: MonotonicTime;
}

/** Open capacity of a set, as the latest grant reply states it. */
export interface KnownOpenCapacity extends OpenCapacity {
  readonly until: MonotonicTime;
}

/** The demand of all entries for a set, as its leader knew it. */
export interface SetDemand {
  /** The highest tier of which requests wait; `null` if none do. */
  readonly waitingRank: number | null;
  /** When the leader sent it, or shortly before. */
  readonly knownAt: MonotonicTime;
}
