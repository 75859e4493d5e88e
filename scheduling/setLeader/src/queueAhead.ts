import type {Milliseconds} from '@gentianshunt/clock';
import type {DemandReportRecord} from '@gentianshunt/entryModel';
import {computeQueueAhead} from '@gentianshunt/policy';

import type {EndpointCapacity, EntryQueue} from './allocation.js';
import {countWaiting, sumFree} from './setSums.js';

/**
 * Adds room in the queues of the endpoints if more requests wait than there is
 * free capacity. Endpoints that are limited for any reason get none.
 */
export function addQueueAhead(
  endpoints: readonly EndpointCapacity[],
  queues: readonly EntryQueue[],
  turnaroundMs: Milliseconds,
): readonly EndpointCapacity[] {
  return countWaiting(queues) <= sumFree(endpoints)
    ? endpoints
    : endpoints.map(endpoint => addRoom(endpoint, turnaroundMs));
}

function addRoom(
  endpoint: EndpointCapacity,
  turnaroundMs: Milliseconds,
): EndpointCapacity {
  const {concurrency, canQueue} = endpoint;
  return canQueue
    ? {
        ...endpoint,
        concurrency: concurrency + computeQueueAhead(concurrency, turnaroundMs),
      }
    : endpoint;
}

/** Measures how long the entries wait for replies to their reports. */
export function measureTurnaround(
  records: readonly DemandReportRecord[],
): Milliseconds {
  const times = records
    .map(({report}) => report.roundTripMs)
    .filter(roundTripMs => roundTripMs > 0);
  return times.length === 0
    ? 0
    : times.reduce((sum, time) => sum + time, 0) / times.length;
}
