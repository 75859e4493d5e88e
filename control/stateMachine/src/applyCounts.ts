import {iterateWhile} from '@gentianshunt/board';
import type {CountMarkKey} from '@gentianshunt/controlModel';
import {addTotals, EMPTY_TOTALS, readMonth} from '@gentianshunt/messages';
import type {
  CalendarMonth,
  LogPayload,
  ServiceCount,
  ServiceCountKey,
} from '@gentianshunt/messages';
import type {
  IncarnationId,
  NodeId,
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import type {StateDraft} from './stateDraft.js';

/** Calendar months kept besides the current one. */
export const MAX_PAST_MONTHS = 13;
/** Most keys for which counts are kept. */
export const MAX_SERVICE_COUNTS = 100_000;
/** Incarnations of one entry whose latest report is remembered. */
export const MAX_MARKS_PER_ENTRY = 8;
/** Collects what exceeds the bound; no organisation can have the name. */
export const OTHER_ORGANISATIONS = '~other' as OrganisationId;

const LOWEST_KEY: ServiceCountKey = {
  month: '' as CalendarMonth,
  tier: '' as TierId,
  organisation: '' as OrganisationId,
  kind: '' as RequestKindId,
};

type CountPayload = Extract<LogPayload, {readonly kind: 'countReport'}>;

/** Adds up a report unless it was added up before. */
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
  forgetMarks(draft, node);
  for (const count of report.counts) {
    addCount(draft, count);
  }
  forgetMonths(draft, atMs);
}

function addCount(draft: StateDraft, count: ServiceCount): void {
  const key = boundKey(draft, count.key);
  const totals = draft.serviceCounts.get(key) ?? EMPTY_TOTALS;
  draft.serviceCounts.put(key, addTotals(totals, count.totals));
}

function boundKey(draft: StateDraft, key: ServiceCountKey): ServiceCountKey {
  const fits =
    draft.serviceCounts.size < MAX_SERVICE_COUNTS ||
    draft.serviceCounts.get(key) !== undefined;
  return fits ? key : {...key, organisation: OTHER_ORGANISATIONS};
}

/** Forgets the incarnation of an entry that reported longest ago. */
function forgetMarks(draft: StateDraft, node: NodeId): void {
  const from = {node, incarnation: '' as IncarnationId};
  const marks = [
    ...iterateWhile(draft.countMarks, from, key => key.node === node),
  ];
  if (marks.length <= MAX_MARKS_PER_ENTRY) {
    return;
  }
  const oldest = marks.reduce((left, right) =>
    right.value.atMs < left.value.atMs ? right : left,
  );
  draft.countMarks.delete(oldest.key);
}

function forgetMonths(draft: StateDraft, atMs: number): void {
  const now = new Date(atMs);
  const first = readMonth(
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
