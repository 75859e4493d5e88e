import type {Milliseconds} from '@gentianshunt/clock';

import {refuseUnadmitted} from './request.js';
import type {NotRunRefusal, RequestAttributes} from './request.js';

/** Lag of the event loop above which requests are refused. */
export const MAX_ADMISSION_LAG_MS: Milliseconds = 500;
/** Short, because another entry can take the request at once. */
const OVERLOAD_RETRY_AFTER_MS: Milliseconds = 100;

/**
 * Refuses a request if the event loop of this entry is so late that the request
 * would be served late, or after its caller has left.
 */
export function refuseIfOverloaded(
  attributes: Pick<RequestAttributes, 'id'>,
  lagMs: Milliseconds,
): NotRunRefusal | undefined {
  return lagMs > MAX_ADMISSION_LAG_MS
    ? refuseUnadmitted(
        attributes,
        {kind: 'overloaded'},
        OVERLOAD_RETRY_AFTER_MS,
      )
    : undefined;
}
