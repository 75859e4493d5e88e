/** Sums over what a set leader knows of a set. */
import type {DemandReportRecord} from '@gentianshunt/entryModel';

import type {EndpointCapacity, EntryQueue} from './allocation.js';

/** Counts the requests that wait in queues. */
export function countWaiting(queues: readonly EntryQueue[]): number {
  return queues.reduce((sum, {queue}) => sum + queue.count, 0);
}

/** Sums up how many requests the entries run on average. */
export function sumRunning(records: readonly DemandReportRecord[]): number {
  return records.reduce((sum, {report}) => sum + report.meanRunning, 0);
}

/** Sums up how many requests endpoints process at once. */
export function sumConcurrency(
  endpoints: readonly Pick<EndpointCapacity, 'concurrency'>[],
): number {
  return endpoints.reduce((sum, {concurrency}) => sum + concurrency, 0);
}

/** Sums up what is occupied of endpoints. */
export function sumOccupied(capacities: readonly EndpointCapacity[]): number {
  return capacities.reduce((sum, {occupied}) => sum + occupied, 0);
}

/** Sums up what is free of endpoints. */
export function sumFree(capacities: readonly EndpointCapacity[]): number {
  return capacities.reduce(
    (sum, {concurrency, occupied}) => sum + Math.max(0, concurrency - occupied),
    0,
  );
}
