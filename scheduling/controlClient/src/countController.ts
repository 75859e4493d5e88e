import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  CountKey,
  CountState,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {addTotals, EMPTY_TOTALS, toCalendarMonth} from '@gentianshunt/messages';
import type {
  ControlToEntry,
  CountReport,
  ServiceCount,
  ServiceCountKey,
  ServiceTotals,
} from '@gentianshunt/messages';

/** Time between two count reports. */
export const COUNT_REPORT_INTERVAL_MS: Milliseconds = 5_000;
/** Time after which an unanswered count report is resent. */
export const COUNT_REPORT_RETRY_MS: Milliseconds = 2_000;
/** Maximum number of keys in a count report. */
export const MAX_COUNTS_PER_REPORT = 1_000;

type CountReads =
  | 'identity'
  | 'service'
  | 'control'
  | 'configuration'
  | 'counts'
  | 'countState';
type CountWrites = 'counts' | 'countState';
type CountView = View<EntrySections, CountReads, EntryObservation>;
type CountWrite = EntryWrite<CountWrites>;
type Ended = Extract<EntryObservation, {readonly kind: 'requestEnded'}>;

/**
 * Creates the controller that counts how requests ended and reports the counts
 * to the leading control daemon.
 */
export function createCountController(): EntryController {
  return defineEntryController<CountReads, CountWrites>({
    name: 'counts',
    reads: [
      'identity',
      'service',
      'control',
      'configuration',
      'counts',
      'countState',
    ],
    writes: ['counts', 'countState'],
    observes: ['requestEnded', 'controlMessage', 'timerDue'],
    run: (view, now) => handleObservation(view, now),
  });
}

function handleObservation(
  view: CountView,
  now: TurnTime,
): readonly CountWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'requestEnded':
      return countEnd(view, observation, now);
    case 'controlMessage':
      return closeCountReport(view, observation.message);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? sendCountReport(view, now)
        : [];
    default:
      return [];
  }
}

function countEnd(
  view: CountView,
  ended: Ended,
  now: TurnTime,
): readonly CountWrite[] {
  const totals = computeTotals(view, ended);
  if (totals === undefined) {
    return [];
  }
  const {tier, organisation, kind} = ended.request;
  const key = {month: toCalendarMonth(now.wall), tier, organisation, kind};
  return [putCount(view, {key, totals})];
}

function putCount(view: CountView, count: ServiceCount): CountWrite {
  const key = formatCountKey(count.key);
  const known = view.board.counts.get(key)?.totals ?? EMPTY_TOTALS;
  const value = {key: count.key, totals: addTotals(known, count.totals)};
  return {kind: 'put', section: 'counts', key, value};
}

function formatCountKey(key: ServiceCountKey): CountKey {
  const {month, tier, organisation, kind} = key;
  return [month, tier, organisation, kind].join('/') as CountKey;
}

/**
 * Computes what an ended request adds to the counts. A repeated answer adds
 * nothing, as its first request was counted.
 */
function computeTotals(
  view: CountView,
  ended: Ended,
): ServiceTotals | undefined {
  const {end} = ended;
  switch (end.kind) {
    case 'answered':
      return computeAnsweredTotals(view, ended);
    case 'refused':
      return computeRefusedTotals(end.refusal.reason.kind);
    case 'abandonedWaiting':
    case 'abandonedRunning':
      return {...EMPTY_TOTALS, abandoned: 1};
    case 'repeated':
      return undefined;
    default:
      return assertNever(end, 'computeTotals');
  }
}

function computeAnsweredTotals(view: CountView, ended: Ended): ServiceTotals {
  const {configuration} = view.board;
  const {tier, kind} = ended.request;
  const targetMs = findObject(configuration, 'tier', tier)?.firstTokenTargetMs;
  const weight = findObject(configuration, 'requestKind', kind)?.weight ?? 1;
  const isOnTime =
    ended.firstTokenMs !== null && ended.firstTokenMs <= (targetMs ?? Infinity);
  return {
    ...EMPTY_TOTALS,
    answered: 1,
    onTime: isOnTime ? 1 : 0,
    answeredWeight: weight,
  };
}

function computeRefusedTotals(
  reason: Extract<
    Ended['end'],
    {readonly kind: 'refused'}
  >['refusal']['reason']['kind'],
): ServiceTotals | undefined {
  switch (reason) {
    case 'shed':
      return {...EMPTY_TOTALS, shed: 1};
    case 'endpointFailed':
    case 'answerCut':
    case 'outcomeUnknown':
    case 'claimsUnavailable':
      return {...EMPTY_TOTALS, failed: 1};
    default:
      return undefined;
  }
}

/** Resends the unacknowledged report, or creates one from the counts. */
function sendCountReport(
  view: CountView,
  now: TurnTime,
): readonly CountWrite[] {
  const {control, countState, service} = view.board;
  if (control.leader === null) {
    return [];
  }
  const isOpen = countState.open !== null;
  const intervalMs = service.kind === 'draining' ? 0 : COUNT_REPORT_INTERVAL_MS;
  const waitMs = isOpen ? COUNT_REPORT_RETRY_MS : intervalMs;
  if (now.monotonic - countState.sentAt < waitMs) {
    return [];
  }
  const report = countState.open ?? createCountReport(view);
  if (report === null) {
    return [];
  }
  const next: CountState = {
    lastSequence: report.sequence,
    open: report,
    sentAt: now.monotonic,
  };
  return [
    ...(isOpen ? [] : removeReportedCounts(report)),
    {kind: 'set', section: 'countState', value: next},
    {
      kind: 'effect',
      effect: {
        kind: 'sendControl',
        to: control.leader,
        message: {kind: 'countReportRequest', report},
      },
    },
  ];
}

function createCountReport(view: CountView): CountReport | null {
  const {counts, countState, identity} = view.board;
  const reported = [...counts.values()].slice(0, MAX_COUNTS_PER_REPORT);
  return reported.length === 0
    ? null
    : {
        incarnation: identity.incarnation,
        sequence: countState.lastSequence + 1,
        counts: reported,
      };
}

/** Removes the counts that a new report contains. */
function removeReportedCounts(report: CountReport): readonly CountWrite[] {
  return report.counts.map(({key}) => ({
    kind: 'delete',
    section: 'counts',
    key: formatCountKey(key),
  }));
}

function closeCountReport(
  view: CountView,
  message: ControlToEntry,
): readonly CountWrite[] {
  const {countState, identity} = view.board;
  const isClosed =
    message.kind === 'countReportReply' &&
    message.incarnation === identity.incarnation &&
    message.sequence === countState.open?.sequence;
  return isClosed
    ? [{kind: 'set', section: 'countState', value: {...countState, open: null}}]
    : [];
}
