import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import type {
  Quarantine,
  RequestAttributes,
  RequestState,
} from '@gentianshunt/entryModel';
import type {NodeId, PromptPartId, RequestId} from '@gentianshunt/identifiers';

/** The state of an entry in which quarantines are looked up. */
export interface QuarantineQuery {
  readonly quarantines: ReadonlyMap<PromptPartId, Quarantine>;
  readonly requests: ReadonlyMap<RequestId, RequestState>;
  readonly self: NodeId;
  readonly now: MonotonicTime;
}

/** Finds a quarantine by which a request must not reach an endpoint now. */
export function findQuarantine(
  query: QuarantineQuery,
  request: Pick<RequestAttributes, 'id' | 'promptParts'>,
): Quarantine | undefined {
  // Most of the time nothing is quarantined.
  if (query.quarantines.size === 0) {
    return undefined;
  }
  return (request.promptParts ?? [])
    .map(part => query.quarantines.get(part))
    .find(
      quarantine =>
        quarantine !== undefined && isRefused(query, quarantine, request.id),
    );
}

function isRefused(
  query: QuarantineQuery,
  {part, state}: Quarantine,
  request: RequestId,
): boolean {
  switch (state.kind) {
    case 'held':
      return query.now >= state.from;
    case 'testing':
      return (
        state.tester !== query.self ||
        query.now >= state.until ||
        hasOtherRequest(query, part, request)
      );
    case 'lifted':
      return false;
    default:
      return assertNever(state, 'isRefused');
  }
}

/** Returns whether another request of this entry has the part. */
function hasOtherRequest(
  {requests}: QuarantineQuery,
  part: PromptPartId,
  id: RequestId,
): boolean {
  return [...requests.values()].some(
    ({request}) =>
      request.id !== id && request.promptParts?.includes(part) === true,
  );
}

/** Shortest time after which a refused caller may try again. */
const MIN_RETRY_AFTER_MS: Milliseconds = 1_000;

/** Computes when the caller of a refused request may try again. */
export function computeQuarantineRetry(
  {state}: Quarantine,
  now: MonotonicTime,
): Milliseconds {
  return Math.max(MIN_RETRY_AFTER_MS, state.until - now);
}
