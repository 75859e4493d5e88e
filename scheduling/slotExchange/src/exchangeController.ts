import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
  iterateLines,
  iterateRunning,
  iterateSlots,
  iterateWaiting,
} from '@gentianshunt/entryModel';
import type {
  DemandReport,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  ExchangeState,
  LineKey,
  WaitingLine,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {listCandidates} from './lineOrder.js';

/** Least time between two reports for one set. */
export const MIN_REPORT_INTERVAL_MS: Milliseconds = 2;
/** Longest time without a report while the entry holds anything of a set. */
export const MAX_REPORT_INTERVAL_MS: Milliseconds = 500;
/** After this time a report counts as lost and is sent again. */
export const REPORT_TIMEOUT_MS: Milliseconds = 250;

type ExchangeReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'lines'
  | 'waiting'
  | 'running'
  | 'slots'
  | 'matches'
  | 'patience'
  | 'endpointRates'
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
      'waiting',
      'running',
      'slots',
      'matches',
      'patience',
      'endpointRates',
      'exchanges',
      'acceptedReply',
    ],
    writes: ['exchanges'],
    observes: ['timerDue'],
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
  readonly demandChanged: boolean;
  readonly replied: boolean;
}

function listAffectedSets(
  view: ExchangeView,
): ReadonlyMap<EndpointSetId, ExchangeCause> {
  const causes = new Map<EndpointSetId, ExchangeCause>();
  const note = (set: EndpointSetId, cause: Partial<ExchangeCause>): void => {
    const before = causes.get(set);
    causes.set(set, {
      demandChanged:
        cause.demandChanged === true || before?.demandChanged === true,
      replied: cause.replied === true || before?.replied === true,
    });
  };
  for (const section of ['lines', 'running'] as const) {
    for (const key of view.readChanges(section)) {
      note((key as {set: EndpointSetId}).set, {demandChanged: true});
    }
  }
  const reply = view.board.acceptedReply;
  if (reply !== null && view.readChanges('acceptedReply').size > 0) {
    note(reply.set, {replied: true});
  }
  const {observation} = view;
  if (
    observation?.kind === 'timerDue' &&
    (observation.timer.kind === 'exchange' ||
      observation.timer.kind === 'housekeeping')
  ) {
    for (const set of view.board.exchanges.keys()) {
      note(set, {});
    }
  }
  return causes;
}

function updateExchange(
  view: ExchangeView,
  set: EndpointSetId,
  cause: ExchangeCause,
  now: TurnTime,
): readonly ExchangeWrite[] {
  const before = view.board.exchanges.get(set) ?? createExchange(set);
  const state: ExchangeState = {
    ...before,
    inFlight: before.inFlight && !cause.replied,
    dirty: before.dirty || cause.demandChanged,
  };
  const leadership = findObject(view.board.configuration, 'setLeadership', set);
  const dueIn = readDueIn(state, leadership?.epoch ?? 0, now);
  if (dueIn === undefined || leadership === undefined) {
    return [putExchange(state)];
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
      dirty: false,
      empty: isEmptyReport(report),
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

/** Tells in how long the next report is due; `undefined` when none is. */
function readDueIn(
  state: ExchangeState,
  epoch: number,
  now: TurnTime,
): Milliseconds | undefined {
  const sinceSent = now.monotonic - state.sentAt;
  const leaderChanged = epoch !== state.epoch;
  if (state.inFlight && !leaderChanged) {
    return Math.max(0, REPORT_TIMEOUT_MS - sinceSent);
  }
  if (state.dirty || leaderChanged) {
    return Math.max(0, MIN_REPORT_INTERVAL_MS - sinceSent);
  }
  if (!state.empty) {
    return Math.max(0, MAX_REPORT_INTERVAL_MS - sinceSent);
  }
  return undefined;
}

function createExchange(set: EndpointSetId): ExchangeState {
  return {
    set,
    sequence: 0,
    epoch: 0,
    sentAt: Number.NEGATIVE_INFINITY,
    inFlight: false,
    dirty: false,
    empty: true,
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
    waiting: [...iterateLines(board.lines, set)].map(({key, value}) =>
      describeLine(view, key, value.count, now),
    ),
    running: [...iterateRunning(board.running, set)].map(({key, value}) => ({
      endpoint: key.endpoint,
      organisation: key.organisation,
      count: value.count,
    })),
    unspent: [...iterateSlots(board.slots, set)]
      .filter(({value}) => value.deadline > now.monotonic)
      .map(({key, value}) => ({
        grant: key.grant,
        endpoint: value.grant.target.endpoint,
        organisation: key.organisation,
        count: value.remaining,
      })),
    rates: [...board.endpointRates.values()]
      .filter(rate => rate.set === set)
      .map(({endpoint, decodeMsPerToken, observedAt}) => ({
        endpoint,
        decodeMsPerToken,
        ageMs: now.monotonic - observedAt,
      })),
  };
}

function describeLine(
  view: ExchangeView,
  key: LineKey,
  count: number,
  now: TurnTime,
): WaitingLine {
  const candidates = listCandidates(view.board, key, now);
  const next = candidates[0];
  const ready = candidates.filter(candidate => candidate.ready).length;
  const early = candidates.filter(candidate => candidate.readyEarly).length;
  return {
    rank: key.rank,
    organisation: key.organisation,
    count,
    // Requests beyond those weighed are taken to be like them.
    ready: ready < candidates.length ? ready : Math.max(ready, count),
    readyEarly: early < candidates.length ? early : Math.max(early, count),
    costMs: next?.costMs ?? 0,
    score: next?.score ?? 0,
    oldestWaitMs: readOldestWait(view, key, now),
  };
}

function readOldestWait(
  view: ExchangeView,
  line: Parameters<typeof iterateWaiting>[1],
  now: TurnTime,
): Milliseconds {
  const oldest = iterateWaiting(view.board.waiting, line).next();
  return oldest.done === true ? 0 : now.monotonic - oldest.value.key.arrivedAt;
}

function isEmptyReport(report: DemandReport): boolean {
  return (
    report.waiting.length === 0 &&
    report.running.length === 0 &&
    report.unspent.length === 0
  );
}
