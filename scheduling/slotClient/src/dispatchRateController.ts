import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {DispatchId, EndpointSetId} from '@gentianshunt/identifiers';
import {countEvent} from '@gentianshunt/policy';
import type {EventRate} from '@gentianshunt/policy';

type RateReads = 'dispatches' | 'requests' | 'dispatchRates';
type RateView = View<EntrySections, RateReads, EntryObservation>;
type RateWrite = EntryWrite<'dispatchRates'>;

/**
 * Creates the controller that measures how fast this entry dispatches requests to
 * each set, from which the wait of the next request is estimated.
 */
export function createDispatchRateController(): EntryController {
  return defineEntryController<RateReads, 'dispatchRates'>({
    name: 'dispatchRates',
    reads: ['dispatches', 'requests', 'dispatchRates'],
    writes: ['dispatchRates'],
    observes: [],
    run: countDispatches,
  });
}

function countDispatches(view: RateView, now: TurnTime): readonly RateWrite[] {
  const {board} = view;
  const rates = new Map<EndpointSetId, EventRate>();
  for (const key of view.readChanges('dispatches')) {
    const request = board.dispatches.get(key as DispatchId);
    const set =
      request === undefined
        ? undefined
        : board.requests.get(request)?.request.set;
    if (set !== undefined) {
      const known = rates.get(set) ?? board.dispatchRates.get(set);
      rates.set(set, countEvent(known, now));
    }
  }
  return Array.from(rates, ([key, value]) => ({
    kind: 'put',
    section: 'dispatchRates',
    key,
    value,
  }));
}
