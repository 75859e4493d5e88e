import type {
  Identifier,
  IncarnationId,
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

/** A calendar month in UTC, such as `2026-12`. */
export type CalendarMonth = Identifier<'calendarMonth'>;

/** Identifies the counts of one month, tier, organisation and kind. */
export interface ServiceCountKey {
  readonly month: CalendarMonth;
  readonly tier: TierId;
  readonly organisation: OrganisationId;
  readonly kind: RequestKindId;
}

/** How requests ended; every field only rises. */
export interface ServiceTotals {
  /** Requests answered whole to callers still waiting. */
  readonly answered: number;
  /** Answered requests whose first token met the tier's target. */
  readonly onTime: number;
  /** Sum of the kind's weight over the answered requests. */
  readonly answeredWeight: number;
  /** Requests refused because capacity was short. */
  readonly shed: number;
  /** Requests that failed or ended with unknown outcome. */
  readonly failed: number;
  /** Requests whose caller left first. */
  readonly abandoned: number;
}

/** Totals of one key. */
export interface ServiceCount {
  readonly key: ServiceCountKey;
  readonly totals: ServiceTotals;
}

/**
 * What an entry counted since its previous report. A report is repeated
 * unchanged until it is acknowledged, so its sequence names its content.
 */
export interface CountReport {
  readonly incarnation: IncarnationId;
  /** Starts at 1 in each incarnation and rises by one. */
  readonly sequence: number;
  readonly counts: readonly ServiceCount[];
}

/** Totals with nothing counted. */
export const EMPTY_TOTALS: ServiceTotals = {
  answered: 0,
  onTime: 0,
  answeredWeight: 0,
  shed: 0,
  failed: 0,
  abandoned: 0,
};

/** Adds two totals. */
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

/** Reads the calendar month of an instant. */
export function readMonth(time: Date): CalendarMonth {
  return time.toISOString().slice(0, MONTH_LENGTH) as CalendarMonth;
}
