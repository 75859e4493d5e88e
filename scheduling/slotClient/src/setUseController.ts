import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController, iterateRunning} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  SetUse,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

/** Time constant of the exponentially decaying mean of running requests. */
export const USE_DECAY_MS: Milliseconds = 1_000;

type UseReads = 'running' | 'setUse';
type UseView = View<EntrySections, UseReads, EntryObservation>;
type UseWrite = EntryWrite<'setUse'>;

/**
 * Creates the controller that measures how many requests this entry runs in
 * each set on average. The number at the time of a demand report says little of
 * short requests, as reports follow from their start and end.
 */
export function createSetUseController(): EntryController {
  return defineEntryController<UseReads, 'setUse'>({
    name: 'setUse',
    reads: ['running', 'setUse'],
    writes: ['setUse'],
    observes: [],
    run: (view, now) => {
      const changed = new Set<EndpointSetId>();
      for (const key of view.readChanges('running')) {
        changed.add((key as {readonly set: EndpointSetId}).set);
      }
      return [...changed].map((set): UseWrite => ({
        kind: 'put',
        section: 'setUse',
        key: set,
        value: updateUse(view, set, now),
      }));
    },
  });
}

function updateUse(
  {board}: UseView,
  set: EndpointSetId,
  now: TurnTime,
): SetUse {
  let running = 0;
  for (const {value} of iterateRunning(board.running, set)) {
    running += value.count;
  }
  const mean = computeMeanRunning(board.setUse.get(set), now);
  return {running, mean, at: now.monotonic};
}

/** Computes the mean number of running requests at a time. */
export function computeMeanRunning(
  use: SetUse | undefined,
  now: TurnTime,
): number {
  if (use === undefined) {
    return 0;
  }
  const {running, mean, at} = use;
  const weight = Math.exp(-Math.max(0, now.monotonic - at) / USE_DECAY_MS);
  return running + (mean - running) * weight;
}
