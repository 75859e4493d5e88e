/** Measures how many slots of a set its leader counts as occupied, on average. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {DemandReportRecord, SlotOccupancy} from '@gentianshunt/entryModel';
import {computeSlotStretch} from '@gentianshunt/policy';

import type {EndpointCapacity} from './allocation.js';
import {sumOccupied} from './setSums.js';

/** Time constant of the mean, that of the requests which entries report to run. */
const OCCUPANCY_DECAY_MS: Milliseconds = 1_000;

/** What a set leader knows of the use of a set. */
export interface SetUse {
  readonly capacities: readonly EndpointCapacity[];
  readonly records: readonly DemandReportRecord[];
  /** Mean number of requests that run. */
  readonly running: number;
}

/**
 * Adds what is occupied now to the mean, without slots that entries keep for
 * requests to come, and computes how many slots are granted for each request.
 */
export function updateOccupancy(
  known: SlotOccupancy | undefined,
  {capacities, records, running}: SetUse,
  now: TurnTime,
): SlotOccupancy {
  const kept = records
    .flatMap(({report}) => report.unspent)
    .reduce((sum, {count}) => sum + count, 0);
  const occupied = Math.max(0, sumOccupied(capacities) - kept);
  const at = now.monotonic;
  const before = known ?? {mean: occupied, stretch: 1, at};
  const elapsedMs = Math.max(0, at - before.at);
  const weight = Math.exp(-elapsedMs / OCCUPANCY_DECAY_MS);
  const mean = occupied + (before.mean - occupied) * weight;
  const {stretch} = before;
  return {
    mean,
    at,
    stretch: computeSlotStretch({stretch, elapsedMs, occupied: mean, running}),
  };
}

/**
 * Adds slots to endpoints without any limit, so that as many requests run there
 * as they process, though slots are on their way most of the time.
 */
export function addTransitSlots(
  capacities: readonly EndpointCapacity[],
  {stretch}: SlotOccupancy,
): readonly EndpointCapacity[] {
  return capacities.map(capacity =>
    capacity.canQueue
      ? {...capacity, concurrency: Math.round(capacity.concurrency * stretch)}
      : capacity,
  );
}
