import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
  iterateLines,
  iterateRunning,
  iterateSlots,
} from '@gentianshunt/entryModel';
import type {
  DemandReport,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  ExchangeState,
  ReportUrgency,
  UnspentSlots,
  WaitingLine,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {hashToFraction} from '@gentianshunt/hashing';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {estimateExpected} from './arrivalController.js';
import {describeLine, listRates, listTroubles} from './lineReport.js';

/** Least time between two reports for one set while slots are wanted. */
export const MIN_REPORT_INTERVAL_MS: Milliseconds = 2;
/** Time that each line, count and slot group adds between urgent reports. */
export const INTERVAL_PER_ITEM_MS: Milliseconds = 0.1;
/** Least time between two reports that only correct the leader's counts. */
export const LAZY_REPORT_INTERVAL_MS: Milliseconds = 25;
/** Lazy reports that may follow one another at the least interval. */
export const MAX_REPORT_CREDIT = 8;
/** Longest time without a report while the entry holds anything of a set. */
export const MAX_REPORT_INTERVAL_MS: Milliseconds = 500;
/** After this time a report counts as lost and is sent again. */
export const REPORT_TIMEOUT_MS: Milliseconds = 250;
/** Longest wait between two reports that are not answered. */
export const MAX_REPORT_TIMEOUT_MS: Milliseconds = 2_000;

type ExchangeReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'lines'
  | 'arrivalRates'
  | 'waiting'
  | 'running'
  | 'slots'
  | 'matches'
  | 'patience'
  | 'endpointRates'
  | 'endpointHealth'
  | 'knownEndpoints'
  | 'exchanges'
  | 'acceptedReply';
type ExchangeView = View<EntrySections, ExchangeReads, EntryObservation>;
type ExchangeWrite = EntryWrite<'exchanges'>;

/** Creates the controller that reports demand to the set leaders. */
export function createExchangeController(): EntryController {
  return defineEntryController<ExchangeReads, 'exchanges'>({
    name: 'exchange',
    reads: [
      'identity',
      'control',
      'configuration',
      'lines',
      'arrivalRates',
      'waiting',
      'running',
      'slots',
      'matches',
      'patience',
      'endpointRates',
      'endpointHealth',
      'knownEndpoints',
      'exchanges',
      'acceptedReply',
    ],
    writes: ['exchanges'],
    observes: ['timerDue', 'entryMessage'],
    run: (view, now) => {
      const writes: ExchangeWrite[] = [];
      for (const [set, cause] of listAffectedSets(view)) {
        writes.push(...updateExchange(view, set, cause, now));
      }
      return writes;
    },
  });
}

/** Why a set's exchange is looked at. */
interface ExchangeCause {
  readonly urgency: ReportUrgency;
  readonly replied: boolean;
  readonly refused: boolean;
}

const NO_CAUSE: ExchangeCause = {
  urgency: 'none',
  replied: false,
  refused: false,
};

function listAffectedSets(
  view: ExchangeView,
): ReadonlyMap<EndpointSetId, ExchangeCause> {
  const causes = new Map<EndpointSetId, ExchangeCause>();
  const note = (set: EndpointSetId, cause: Partial<ExchangeCause>): void => {
    causes.set(set, {...(causes.get(set) ?? NO_CAUSE), ...cause});
  };
  noteDemand(view, note);
  noteReplies(view, note);
  noteLeaderships(view, note);
  const {observation} = view;
  const isTimerDue =
    observation?.kind === 'timerDue' &&
    (observation.timer.kind === 'exchange' ||
      observation.timer.kind === 'housekeeping');
  if (isTimerDue || view.readChanges('matches').size > 0) {
    for (const set of view.board.exchanges.keys()) {
      note(set, {});
    }
  }
  return causes;
}

type NoteCause = (set: EndpointSetId, cause: Partial<ExchangeCause>) => void;

/**
 * A place that became free is urgent only while requests wait for it. Matched
 * requests wait for nothing: they are noted again when they have left.
 */
function noteDemand(view: ExchangeView, note: NoteCause): void {
  const isSettled = view.board.matches.size === 0;
  for (const section of ['running', 'lines'] as const) {
    for (const key of view.readChanges(section)) {
      const {set} = key as {readonly set: EndpointSetId};
      const waits = iterateLines(view.board.lines, set).next().done !== true;
      note(set, {urgency: isSettled && waits ? 'urgent' : 'lazy'});
    }
  }
}

function noteReplies(view: ExchangeView, note: NoteCause): void {
  const reply = view.board.acceptedReply;
  if (reply !== null && view.readChanges('acceptedReply').size > 0) {
    note(reply.set, {replied: true});
  }
  const {observation} = view;
  if (
    observation?.kind !== 'entryMessage' ||
    observation.message.kind !== 'notSetLeader'
  ) {
    return;
  }
  const {set, sequence} = observation.message;
  const exchange = view.board.exchanges.get(set);
  if (exchange?.inFlight === true && exchange.sequence === sequence) {
    note(set, {refused: true});
  }
}

function noteLeaderships(view: ExchangeView, note: NoteCause): void {
  for (const key of view.readChanges('configuration')) {
    const object = view.board.configuration.get(key as ObjectKey);
    if (
      object?.kind === 'setLeadership' &&
      view.board.exchanges.has(object.id)
    ) {
      note(object.id, {});
    }
  }
}

function updateExchange(
  view: ExchangeView,
  set: EndpointSetId,
  cause: ExchangeCause,
  now: TurnTime,
): readonly ExchangeWrite[] {
  const before = view.board.exchanges.get(set) ?? createExchange(set, now);
  const leadership = findObject(view.board.configuration, 'setLeadership', set);
  const state = applyCause(before, cause, leadership?.epoch ?? 0);
  const dueIn = readDueIn(view, state, now);
  // A matched request counts neither as waiting nor as running: a report made
  // now would hand its place back to the leader.
  const isUnsettled = view.board.matches.size > 0;
  if (dueIn === undefined || leadership === undefined || isUnsettled) {
    return state === before ? [] : [putExchange(state)];
  }
  if (dueIn > 0) {
    return [
      putExchange(state),
      {
        kind: 'order',
        order: {kind: 'setTimer', timer: {kind: 'exchange'}, delayMs: dueIn},
      },
    ];
  }
  const address = findEntryAddress(
    view.board.control.directory,
    leadership.node,
  );
  if (address === undefined) {
    return [putExchange(state)];
  }
  const sequence = state.sequence + 1;
  const report = createReport(view, set, leadership.epoch, sequence, now);
  return [
    putExchange({
      set,
      sequence,
      epoch: leadership.epoch,
      sentAt: now.monotonic,
      inFlight: true,
      urgency: 'none',
      failures: state.inFlight ? state.failures + 1 : state.failures,
      credit: spendCredit(state, now),
      items: countItems(report),
    }),
    {
      kind: 'order',
      order: {
        kind: 'sendEntry',
        to: leadership.node,
        address,
        message: {kind: 'demandReport', report},
      },
    },
  ];
}

/** Credit comes back as fast as reports are due without any change. */
function spendCredit(state: ExchangeState, now: TurnTime): number {
  const earned = (now.monotonic - state.sentAt) / MAX_REPORT_INTERVAL_MS;
  return Math.max(0, Math.min(MAX_REPORT_CREDIT, state.credit + earned) - 1);
}

function applyCause(
  before: ExchangeState,
  cause: ExchangeCause,
  epoch: number,
): ExchangeState {
  const urgency = pickUrgency(before.urgency, cause.urgency);
  if (epoch !== before.epoch) {
    // Another leader knows nothing of what this entry holds.
    return {
      ...before,
      epoch,
      inFlight: false,
      failures: 0,
      urgency: 'urgent',
    };
  }
  if (cause.replied) {
    return {...before, urgency, inFlight: false, failures: 0};
  }
  if (cause.refused) {
    const failures = before.failures + 1;
    return {...before, urgency: 'urgent', inFlight: false, failures};
  }
  return urgency === before.urgency ? before : {...before, urgency};
}

const URGENCIES: readonly ReportUrgency[] = ['none', 'lazy', 'urgent'];

function pickUrgency(left: ReportUrgency, right: ReportUrgency): ReportUrgency {
  return URGENCIES.indexOf(left) > URGENCIES.indexOf(right) ? left : right;
}

/** Tells in how long the next report is due; `undefined` when none is. */
function readDueIn(
  view: ExchangeView,
  state: ExchangeState,
  now: TurnTime,
): Milliseconds | undefined {
  const intervalMs = readInterval(view, state);
  return intervalMs === undefined
    ? undefined
    : Math.max(0, state.sentAt + intervalMs - now.monotonic);
}

function readInterval(
  view: ExchangeView,
  state: ExchangeState,
): Milliseconds | undefined {
  if (state.inFlight || state.failures > 0) {
    return readTimeout(view, state);
  }
  switch (state.urgency) {
    case 'urgent':
      return Math.max(
        MIN_REPORT_INTERVAL_MS,
        state.items * INTERVAL_PER_ITEM_MS,
      );
    case 'lazy':
      return state.credit >= 1
        ? LAZY_REPORT_INTERVAL_MS
        : MAX_REPORT_INTERVAL_MS;
    case 'none':
      return state.items === 0 ? undefined : MAX_REPORT_INTERVAL_MS;
    default:
      return assertNever(state.urgency, 'readInterval');
  }
}

/** Doubles with every failure, and differs from entry to entry. */
function readTimeout(view: ExchangeView, state: ExchangeState): Milliseconds {
  const ceilingMs = Math.min(
    MAX_REPORT_TIMEOUT_MS,
    REPORT_TIMEOUT_MS * 2 ** state.failures,
  );
  if (state.failures === 0) {
    return ceilingMs;
  }
  const {node} = view.board.identity.address;
  const fraction = hashToFraction(`${node}/${state.set}/${state.sequence}`);
  return ceilingMs * (0.5 + fraction / 2);
}

/** Starts above the sequences of an earlier start of this process. */
function createExchange(set: EndpointSetId, now: TurnTime): ExchangeState {
  return {
    set,
    sequence: now.wall.getTime(),
    epoch: 0,
    sentAt: Number.NEGATIVE_INFINITY,
    inFlight: false,
    urgency: 'none',
    failures: 0,
    credit: MAX_REPORT_CREDIT,
    items: 0,
  };
}

function putExchange(state: ExchangeState): ExchangeWrite {
  return {kind: 'put', section: 'exchanges', key: state.set, value: state};
}

function createReport(
  view: ExchangeView,
  set: EndpointSetId,
  epoch: number,
  sequence: number,
  now: TurnTime,
): DemandReport {
  const {board} = view;
  return {
    set,
    epoch,
    sequence,
    waiting: listWaitingLines(view, set, now),
    running: [...iterateRunning(board.running, set)].map(({key, value}) => ({
      endpoint: key.endpoint,
      organisation: key.organisation,
      count: value.count,
    })),
    unspent: listUnspent(view, set, now),
    rates: listRates(view.board, set, now),
    troubles: listTroubles(view.board, set, now),
    endpointsDigest: board.knownEndpoints.get(set)?.digest ?? 0,
  };
}

function listUnspent(
  view: ExchangeView,
  set: EndpointSetId,
  now: TurnTime,
): readonly UnspentSlots[] {
  const unspent = new Map<string, UnspentSlots>();
  for (const {key, value} of iterateSlots(view.board.slots, set)) {
    if (value.deadline <= now.monotonic) {
      continue;
    }
    const {rank, organisation} = key;
    const {endpoint} = value.grant.target;
    const group = `${rank}/${organisation}/${endpoint}`;
    const count = (unspent.get(group)?.count ?? 0) + value.remaining;
    unspent.set(group, {endpoint, rank, organisation, count});
  }
  return [...unspent.values()];
}

/** Lists the lines that have requests, then what each tier expects. */
function listWaitingLines(
  view: ExchangeView,
  set: EndpointSetId,
  now: TurnTime,
): readonly WaitingLine[] {
  const {lines, arrivalRates} = view.board;
  const waiting = [...iterateLines(lines, set)].map(({key, value}) =>
    describeLine(view.board, key, value.count, now),
  );
  const expecting = [...iterateLines(arrivalRates, set)]
    .map(({key, value}) => ({
      rank: key.rank,
      organisation: key.organisation,
      count: 0,
      ready: 0,
      readyEarly: 0,
      costMs: 0,
      score: 0,
      expected: estimateExpected(value, now),
      oldestWaitMs: 0,
    }))
    .filter(line => line.expected > 0);
  return [...waiting, ...expecting];
}

function countItems(report: DemandReport): number {
  return report.waiting.length + report.running.length + report.unspent.length;
}
