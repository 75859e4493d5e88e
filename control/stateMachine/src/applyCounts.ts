import {iterateWhile} from '@gentianshunt/board';
import type {OrderedDraft} from '@gentianshunt/board';
import type {CountMarkKey} from '@gentianshunt/controlModel';
import {
  addTotals,
  computePeriodStart,
  EMPTY_TOTALS,
  RECENT_RETENTION_MS,
  toCalendarMonth,
} from '@gentianshunt/messages';
import type {
  CalendarMonth,
  LogPayload,
  RecentCountKey,
  ServiceCount,
  ServiceCountKey,
  ServiceTotals,
} from '@gentianshunt/messages';
import type {
  IncarnationId,
  NodeId,
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import type {StateDraft} from './stateDraft.js';

/** Calendar months whose counts are kept besides the current one. */
export const MAX_PAST_MONTHS = 13;
/** Maximum number of keys with recent counts. */
export const MAX_RECENT_COUNTS = 50_000;
/** Maximum number of keys with monthly counts. */
export const MAX_SERVICE_COUNTS = 100_000;
/** Maximum number of incarnations of one entry with a stored count mark. */
export const MAX_INCARNATION_MARKS_PER_ENTRY = 8;
/**
 * Organisation that collects the counts of new keys once the maximum is
 * reached. It is not a valid identifier, so no organisation can have it.
 */
export const OTHER_ORGANISATIONS = '~other' as OrganisationId;

const LOWEST_KEY: ServiceCountKey = {
  month: '' as CalendarMonth,
  tier: '' as TierId,
  organisation: '' as OrganisationId,
  kind: '' as RequestKindId,
};

type CountPayload = Extract<LogPayload, {readonly kind: 'countReport'}>;

/**
 * Adds the counts of a count report. The mark of each incarnation holds the
 * sequence number of its last report, so a resent report is not added twice.
 */
export function applyCountReport(
  draft: StateDraft,
  payload: CountPayload,
): void {
  const {node, report, atMs} = payload;
  const key: CountMarkKey = {node, incarnation: report.incarnation};
  const mark = draft.countMarks.get(key);
  if (mark !== undefined && mark.sequence >= report.sequence) {
    return;
  }
  draft.countMarks.put(key, {sequence: report.sequence, atMs});
  removeOldestMark(draft, node);
  for (const count of report.counts) {
    addCount(draft, count);
    addRecentCount(draft, count, atMs);
  }
  removeOldMonths(draft, atMs);
  removeOldPeriods(draft, atMs);
}

function addCount(draft: StateDraft, count: ServiceCount): void {
  const key = resolveCountKey(
    draft.serviceCounts,
    MAX_SERVICE_COUNTS,
    count.key,
  );
  const totals = draft.serviceCounts.get(key) ?? EMPTY_TOTALS;
  draft.serviceCounts.put(key, addTotals(totals, count.totals));
}

/** Returns the key, or that of the other organisations if there is no room. */
function resolveCountKey<Key extends {readonly organisation: OrganisationId}>(
  counts: OrderedDraft<Key, ServiceTotals>,
  maxCounts: number,
  key: Key,
): Key {
  const fits = counts.size < maxCounts || counts.get(key) !== undefined;
  return fits ? key : {...key, organisation: OTHER_ORGANISATIONS};
}

/** Adds counts to the period in which their report was proposed. */
function addRecentCount(
  draft: StateDraft,
  count: ServiceCount,
  atMs: number,
): void {
  const {tier, organisation, kind} = count.key;
  const startMs = computePeriodStart(atMs);
  const key = resolveCountKey(draft.recentCounts, MAX_RECENT_COUNTS, {
    startMs,
    tier,
    organisation,
    kind,
  });
  const totals = draft.recentCounts.get(key) ?? EMPTY_TOTALS;
  draft.recentCounts.put(key, addTotals(totals, count.totals));
}

/** Removes the mark of the entry's incarnation that reported longest ago. */
function removeOldestMark(draft: StateDraft, node: NodeId): void {
  const from = {node, incarnation: '' as IncarnationId};
  const marks = [
    ...iterateWhile(draft.countMarks, from, key => key.node === node),
  ];
  if (marks.length <= MAX_INCARNATION_MARKS_PER_ENTRY) {
    return;
  }
  const oldest = marks.reduce((left, right) =>
    right.value.atMs < left.value.atMs ? right : left,
  );
  draft.countMarks.delete(oldest.key);
}

function removeOldMonths(draft: StateDraft, atMs: number): void {
  const now = new Date(atMs);
  const first = toCalendarMonth(
    new Date(
      Date.UTC(now.getUTCFullYear(), now.getUTCMonth() - MAX_PAST_MONTHS),
    ),
  );
  const old = iterateWhile(
    draft.serviceCounts,
    LOWEST_KEY,
    key => key.month < first,
  );
  for (const {key} of [...old]) {
    draft.serviceCounts.delete(key);
  }
}

function removeOldPeriods(draft: StateDraft, atMs: number): void {
  const from: RecentCountKey = {
    startMs: Number.NEGATIVE_INFINITY,
    tier: '' as TierId,
    organisation: '' as OrganisationId,
    kind: '' as RequestKindId,
  };
  const firstMs = computePeriodStart(atMs - RECENT_RETENTION_MS);
  const old = iterateWhile(
    draft.recentCounts,
    from,
    key => key.startMs < firstMs,
  );
  for (const {key} of [...old]) {
    draft.recentCounts.delete(key);
  }
}
