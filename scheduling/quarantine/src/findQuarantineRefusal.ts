import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import type {
  Quarantine,
  RequestAttributes,
  RequestState,
} from '@gentianshunt/entryModel';
import type {NodeId, PromptPartId, RequestId} from '@gentianshunt/identifiers';

/** Shortest time after which a refused caller may try again. */
const MIN_RETRY_AFTER_MS: Milliseconds = 1_000;
/** The same for a part that an operator holds. */
const OPERATOR_RETRY_AFTER_MS: Milliseconds = 60_000;

/** The state of an entry in which quarantines are looked up. */
export interface QuarantineQuery {
  readonly configuration: ConfigurationTable;
  readonly quarantines: ReadonlyMap<PromptPartId, Quarantine>;
  readonly requests: ReadonlyMap<RequestId, RequestState>;
  readonly self: NodeId;
  readonly now: MonotonicTime;
}

/** Why a request must not reach an endpoint now. */
export interface QuarantineRefusal {
  readonly part: PromptPartId;
  /** When its caller may try again. */
  readonly retryAfterMs: Milliseconds;
}

/** Finds a prompt part by which a request must not reach an endpoint now. */
export function findQuarantineRefusal(
  query: QuarantineQuery,
  request: Pick<RequestAttributes, 'id' | 'promptParts'>,
): QuarantineRefusal | undefined {
  for (const part of request.promptParts ?? []) {
    const policy = findObject(query.configuration, 'promptPolicy', part);
    if (policy?.state === 'held') {
      return {part, retryAfterMs: OPERATOR_RETRY_AFTER_MS};
    }
    const quarantine = query.quarantines.get(part);
    if (quarantine !== undefined && isRefused(query, quarantine, request.id)) {
      return {part, retryAfterMs: computeRetryAfter(quarantine, query.now)};
    }
  }
  return undefined;
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

function computeRetryAfter(
  {state}: Quarantine,
  now: MonotonicTime,
): Milliseconds {
  return Math.max(MIN_RETRY_AFTER_MS, state.until - now);
}
