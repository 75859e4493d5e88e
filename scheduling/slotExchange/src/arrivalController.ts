import type {PutWrite, TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  ANY_ORGANISATION,
  defineEntryController,
} from '@gentianshunt/entryModel';
import type {
  ArrivalRate,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  LineKey,
  WaitingKey,
} from '@gentianshunt/entryModel';

/** Time over which arrivals are averaged. */
export const RATE_WINDOW_MS: Milliseconds = 2_000;
/** Time for which slots are wanted ahead: an exchange and its delay. */
export const AHEAD_MS: Milliseconds = 600;
/** Fewer expected arrivals than this are not worth slots held ahead. */
export const MIN_EXPECTED = 2;
/** Standard deviations of the arrivals that slots ahead should cover. */
const SAFETY_DEVIATIONS = 2;
const MIN_RATE_PER_SECOND = 0.01;
const MILLISECONDS_PER_SECOND = 1_000;

type ArrivalReads = 'waiting' | 'arrivalRates';
type ArrivalView = View<EntrySections, ArrivalReads, EntryObservation>;
type RateWrite = PutWrite<'arrivalRates', LineKey, ArrivalRate>;
type ArrivalWrite = EntryWrite<'arrivalRates'>;

/** Creates the controller that learns how fast requests arrive. */
export function createArrivalController(): EntryController {
  return defineEntryController<ArrivalReads, 'arrivalRates'>({
    name: 'arrivals',
    reads: ['waiting', 'arrivalRates'],
    writes: ['arrivalRates'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {observation} = view;
      const isUpkeep =
        observation?.kind === 'timerDue' &&
        observation.timer.kind === 'housekeeping';
      return [
        ...(isUpkeep ? dropIdleRates(view, now) : []),
        ...countArrivals(view, now),
      ];
    },
  });
}

function countArrivals(
  view: ArrivalView,
  now: TurnTime,
): readonly ArrivalWrite[] {
  const counted = new Map<string, RateWrite>();
  for (const changed of view.readChanges('waiting')) {
    const waiting = changed as WaitingKey;
    if (!view.board.waiting.has(waiting)) {
      continue;
    }
    const {set, rank} = waiting;
    const key = {set, rank, organisation: ANY_ORGANISATION};
    const line = `${set}/${rank}`;
    const known = counted.get(line)?.value ?? view.board.arrivalRates.get(key);
    const perSecond =
      readRate(known, now) + MILLISECONDS_PER_SECOND / RATE_WINDOW_MS;
    const value = {perSecond, at: now.monotonic};
    counted.set(line, {kind: 'put', section: 'arrivalRates', key, value});
  }
  return [...counted.values()];
}

function dropIdleRates(
  view: ArrivalView,
  now: TurnTime,
): readonly ArrivalWrite[] {
  const writes: ArrivalWrite[] = [];
  for (const {key, value} of view.board.arrivalRates.iterateFrom()) {
    if (readRate(value, now) < MIN_RATE_PER_SECOND) {
      writes.push({kind: 'delete', section: 'arrivalRates', key});
    }
  }
  return writes;
}

function readRate(rate: ArrivalRate | undefined, now: TurnTime): number {
  if (rate === undefined) {
    return 0;
  }
  const ageMs = now.monotonic - rate.at;
  return rate.perSecond * Math.exp(-ageMs / RATE_WINDOW_MS);
}

/** Estimates how many requests of a tier arrive before the next report. */
export function estimateExpected(
  rate: ArrivalRate | undefined,
  now: TurnTime,
): number {
  const mean = (readRate(rate, now) * AHEAD_MS) / MILLISECONDS_PER_SECOND;
  return mean < MIN_EXPECTED
    ? 0
    : Math.ceil(mean + SAFETY_DEVIATIONS * Math.sqrt(mean));
}
