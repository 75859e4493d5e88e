/**
 * Decides when a set leader allocates the capacity of its sets. One allocation
 * answers all demand reports received since the previous one, so that the
 * leader's processor time does not grow with the number of reports.
 */
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

/**
 * Time that each demand report and each endpoint of a set adds to the interval
 * between two allocations.
 */
export const ROUND_INTERVAL_PER_ITEM_MS: Milliseconds = 0.1;
/** Shorter intervals are not kept: a small set is allocated at once. */
export const MIN_ROUND_INTERVAL_MS: Milliseconds = 1;

type RoundReads =
  'leaderships' | 'demandReports' | 'endpoints' | 'allocationRounds';
type RoundView = View<EntrySections, RoundReads, EntryObservation>;
type RoundWrite = EntryWrite<'allocationRounds'>;

/** Which sets are allocated now, and which later. */
export interface RoundPlan {
  readonly due: readonly EndpointSetId[];
  /** Marks the sets that are allocated later, and sets the timer for them. */
  readonly writes: readonly RoundWrite[];
}

/** Plans the allocations of the sets whose demand or capacity changed. */
export function planRounds(view: RoundView, now: TurnTime): RoundPlan {
  const pending = listPendingSets(view);
  const isDue = (set: EndpointSetId): boolean =>
    readNextTime(view, set) <= now.monotonic;
  const due = pending.filter(isDue);
  const later = pending.filter(set => !isDue(set));
  return {due, writes: scheduleRounds(view, later, now)};
}

/** Records an allocation over a number of demand reports and endpoints. */
export function recordRound(
  set: EndpointSetId,
  items: number,
  now: TurnTime,
): RoundWrite {
  const intervalMs = items * ROUND_INTERVAL_PER_ITEM_MS;
  const pauseMs = intervalMs < MIN_ROUND_INTERVAL_MS ? 0 : intervalMs;
  const value = {nextAt: now.monotonic + pauseMs, isPending: false};
  return {kind: 'put', section: 'allocationRounds', key: set, value};
}

function readNextTime({board}: RoundView, set: EndpointSetId): number {
  return board.allocationRounds.get(set)?.nextAt ?? Number.NEGATIVE_INFINITY;
}

function listPendingSets(view: RoundView): readonly EndpointSetId[] {
  const {board, observation} = view;
  const sets = new Set<EndpointSetId>();
  for (const section of ['demandReports', 'endpoints'] as const) {
    for (const key of view.readChanges(section)) {
      sets.add((key as {readonly set: EndpointSetId}).set);
    }
  }
  if (observation?.kind === 'timerDue') {
    const isHousekeeping = observation.timer.kind === 'housekeeping';
    for (const set of board.leaderships.keys()) {
      const isPending = board.allocationRounds.get(set)?.isPending === true;
      if (isHousekeeping || isPending) {
        sets.add(set);
      }
    }
  }
  return [...sets].filter(set => board.leaderships.has(set));
}

/** Marks sets as pending and sets the timer for the first of their rounds. */
function scheduleRounds(
  view: RoundView,
  sets: readonly EndpointSetId[],
  now: TurnTime,
): readonly RoundWrite[] {
  const {allocationRounds, leaderships} = view.board;
  const added = sets.filter(
    set => allocationRounds.get(set)?.isPending === false,
  );
  const isTimerDue =
    view.observation?.kind === 'timerDue' &&
    view.observation.timer.kind === 'allocation';
  if (added.length === 0 && !(isTimerDue && sets.length > 0)) {
    return [];
  }
  const pending = [...allocationRounds].filter(
    ([set, {isPending}]) =>
      sets.includes(set) || (isPending && leaderships.has(set)),
  );
  const nextAt = Math.min(...pending.map(([, round]) => round.nextAt));
  const delayMs = Math.max(0, nextAt - now.monotonic);
  return [
    ...added.map((set): RoundWrite => ({
      kind: 'put',
      section: 'allocationRounds',
      key: set,
      value: {...allocationRounds.get(set)!, isPending: true},
    })),
    {
      kind: 'effect',
      effect: {kind: 'setTimer', timer: {kind: 'allocation'}, delayMs},
    },
  ];
}
