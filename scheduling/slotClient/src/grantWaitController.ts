import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  defineEntryController,
  iterateQueues,
  iterateWaiting,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryDecision,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

/** A shorter wait for a grant is usual where capacity is short. */
const REPORTED_WAIT_MS: Milliseconds = 500;
/** Time between two log lines about the same set. */
const WAIT_LOG_INTERVAL_MS: Milliseconds = 1_000;

type WaitReads =
  | 'configuration'
  | 'queues'
  | 'waiting'
  | 'demandReporting'
  | 'loggedGrantWaits';
type WaitView = View<EntrySections, WaitReads, EntryObservation>;
type WaitWrite = EntryWrite<'loggedGrantWaits'>;

/**
 * Creates the controller that logs when requests of this entry wait long and the
 * leader of their set grants nothing, whether it replies or not.
 */
export function createGrantWaitController(): EntryController {
  return defineEntryController<WaitReads, 'loggedGrantWaits'>({
    name: 'grantWaits',
    reads: [
      'configuration',
      'queues',
      'waiting',
      'demandReporting',
      'loggedGrantWaits',
    ],
    writes: ['loggedGrantWaits'],
    observes: ['timerDue'],
    run: (view, now) =>
      view.observation?.kind === 'timerDue' &&
      view.observation.timer.kind === 'housekeeping'
        ? [...dropEndedWaits(view), ...recordWaits(view, now)]
        : [],
  });
}

function dropEndedWaits({board}: WaitView): readonly WaitWrite[] {
  return [...board.loggedGrantWaits.keys()]
    .filter(set => iterateQueues(board.queues, set).next().done === true)
    .map(key => ({kind: 'delete', section: 'loggedGrantWaits', key}));
}

function recordWaits(view: WaitView, now: TurnTime): readonly WaitWrite[] {
  const {queues, loggedGrantWaits} = view.board;
  const sets = new Set<EndpointSetId>();
  for (const {key} of queues.iterateFrom()) {
    sets.add(key.set);
  }
  return [...sets].flatMap((set): readonly WaitWrite[] => {
    const wait = describeWait(view, set, now);
    const loggedAt = loggedGrantWaits.get(set)?.loggedAt;
    const isLogged =
      loggedAt !== undefined && now.monotonic - loggedAt < WAIT_LOG_INTERVAL_MS;
    return wait === undefined || isLogged
      ? []
      : [
          {
            kind: 'put',
            section: 'loggedGrantWaits',
            key: set,
            value: {loggedAt: now.monotonic},
          },
          {kind: 'effect', effect: {kind: 'logDecision', decision: wait}},
        ];
  });
}

/** Describes a wait for grants; `undefined` if it is short. */
function describeWait(
  {board}: WaitView,
  set: EndpointSetId,
  now: TurnTime,
): EntryDecision | undefined {
  const state = board.demandReporting.get(set);
  const queues = [...iterateQueues(board.queues, set)];
  const arrivals = queues.map(({key}) => {
    const first = iterateWaiting(board.waiting, key).next();
    return first.done === true ? now.monotonic : first.value.key.arrivedAt;
  });
  const oldestWaitMs = now.monotonic - Math.min(...arrivals);
  const sinceGrantMs = measureAge(state?.grantedAt ?? null, now);
  if (Math.min(oldestWaitMs, sinceGrantMs ?? oldestWaitMs) < REPORTED_WAIT_MS) {
    return undefined;
  }
  const leadership = findObject(board.configuration, 'setLeadership', set);
  return {
    kind: 'grantsAwaited',
    set,
    leader: leadership?.node ?? null,
    epoch: leadership?.epoch ?? null,
    waiting: queues.reduce((sum, {value}) => sum + value.count, 0),
    oldestWaitMs,
    sinceGrantMs,
    sinceReplyMs: measureAge(state?.repliedAt ?? null, now),
    failures: state?.failures ?? 0,
  };
}

function measureAge(
  at: MonotonicTime | null,
  now: TurnTime,
): Milliseconds | null {
  return at === null ? null : now.monotonic - at;
}
