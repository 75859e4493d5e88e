import type {PutWrite, TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  ANY_ORGANISATION,
  defineEntryController,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  QueueKey,
  WaitingKey,
} from '@gentianshunt/entryModel';
import {computeRate, countEvent} from '@gentianshunt/policy';
import type {EventRate} from '@gentianshunt/policy';

/** Time that a forecast covers: a report interval and the reply's delay. */
export const FORECAST_HORIZON_MS: Milliseconds = 600;
/** No advance slots are requested for fewer expected arrivals than this. */
export const MIN_EXPECTED_ARRIVALS = 2;
/** Standard deviations above the mean that advance slots should cover. */
const SAFETY_DEVIATIONS = 2;
const MIN_RATE_PER_SECOND = 0.01;
const MILLISECONDS_PER_SECOND = 1_000;

type ArrivalReads = 'waiting' | 'arrivalRates';
type ArrivalView = View<EntrySections, ArrivalReads, EntryObservation>;
type RateWrite = PutWrite<'arrivalRates', QueueKey, EventRate>;
type ArrivalWrite = EntryWrite<'arrivalRates'>;

/**
 * Creates the controller that measures how fast requests arrive for each
 * endpoint set and tier.
 */
export function createArrivalController(): EntryController {
  return defineEntryController<ArrivalReads, 'arrivalRates'>({
    name: 'arrivals',
    reads: ['waiting', 'arrivalRates'],
    writes: ['arrivalRates'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {observation} = view;
      const isHousekeeping =
        observation?.kind === 'timerDue' &&
        observation.timer.kind === 'housekeeping';
      return [
        ...(isHousekeeping ? dropIdleRates(view, now) : []),
        ...countArrivals(view, now),
      ];
    },
  });
}

function countArrivals(
  view: ArrivalView,
  now: TurnTime,
): readonly ArrivalWrite[] {
  const updatedRates = new Map<string, RateWrite>();
  for (const changed of view.readChanges('waiting')) {
    const waitingKey = changed as WaitingKey;
    if (!view.board.waiting.has(waitingKey)) {
      continue;
    }
    const {set, rank} = waitingKey;
    const key = {set, rank, organisation: ANY_ORGANISATION};
    const queue = `${set}/${rank}`;
    const known =
      updatedRates.get(queue)?.value ?? view.board.arrivalRates.get(key);
    const value = countEvent(known, now);
    updatedRates.set(queue, {kind: 'put', section: 'arrivalRates', key, value});
  }
  return [...updatedRates.values()];
}

function dropIdleRates(
  view: ArrivalView,
  now: TurnTime,
): readonly ArrivalWrite[] {
  const writes: ArrivalWrite[] = [];
  for (const {key, value} of view.board.arrivalRates.iterateFrom()) {
    if (computeRate(value, now) < MIN_RATE_PER_SECOND) {
      writes.push({kind: 'delete', section: 'arrivalRates', key});
    }
  }
  return writes;
}

/** Estimates how many requests of a tier arrive before the next grants. */
export function estimateExpectedArrivals(
  rate: EventRate | undefined,
  now: TurnTime,
): number {
  const mean =
    (computeRate(rate, now) * FORECAST_HORIZON_MS) / MILLISECONDS_PER_SECOND;
  return mean < MIN_EXPECTED_ARRIVALS
    ? 0
    : Math.ceil(mean + SAFETY_DEVIATIONS * Math.sqrt(mean));
}
