import type {
  Identifier,
  IncarnationId,
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

/** A calendar month in UTC, such as `2026-12`. */
export type CalendarMonth = Identifier<'calendarMonth'>;

/** Identifies the counts of one month, tier, organisation and request kind. */
export interface ServiceCountKey {
  readonly month: CalendarMonth;
  readonly tier: TierId;
  readonly organisation: OrganisationId;
  readonly kind: RequestKindId;
}

/** Numbers of ended requests by result; every field only increases. */
export interface ServiceTotals {
  /** Requests whose complete answer reached a caller still waiting. */
  readonly answered: number;
  /** Answered requests whose first token met the target of the tier. */
  readonly onTime: number;
  /** Sum of the request kind weights of the answered requests. */
  readonly answeredWeight: number;
  /** Requests refused for lack of capacity. */
  readonly shed: number;
  /** Requests that failed or ended with unknown outcome. */
  readonly failed: number;
  /** Requests whose caller disconnected before the end. */
  readonly abandoned: number;
}

/** Totals of one service count key. */
export interface ServiceCount {
  readonly key: ServiceCountKey;
  readonly totals: ServiceTotals;
}

/**
 * What an entry has counted since its previous count report. A report is resent
 * unchanged until it is acknowledged, so its sequence number identifies its
 * content.
 */
export interface CountReport {
  readonly incarnation: IncarnationId;
  /** Starts at 1 in each incarnation and increases by one. */
  readonly sequence: number;
  readonly counts: readonly ServiceCount[];
}

/** Totals before any request is counted. */
export const EMPTY_TOTALS: ServiceTotals = {
  answered: 0,
  onTime: 0,
  answeredWeight: 0,
  shed: 0,
  failed: 0,
  abandoned: 0,
};

export function addTotals(
  left: ServiceTotals,
  right: ServiceTotals,
): ServiceTotals {
  return {
    answered: left.answered + right.answered,
    onTime: left.onTime + right.onTime,
    answeredWeight: left.answeredWeight + right.answeredWeight,
    shed: left.shed + right.shed,
    failed: left.failed + right.failed,
    abandoned: left.abandoned + right.abandoned,
  };
}

const MONTH_LENGTH = 'yyyy-mm'.length;

/** Converts a time to its calendar month in UTC. */
export function toCalendarMonth(time: Date): CalendarMonth {
  return time.toISOString().slice(0, MONTH_LENGTH) as CalendarMonth;
}
