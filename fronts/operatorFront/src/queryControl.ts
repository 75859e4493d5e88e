import type {EntryObservation} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';
import type {ControlQuery, ControlQueryResult} from '@gentianshunt/messages';

import type {ProgressWaiters} from './progressWaiters.js';

/** Options of a query to the control daemons. */
export interface QueryControlOptions {
  readonly query: ControlQuery;
  /** Longest wait for the answer. */
  readonly timeoutMs: number;
  readonly post: (observation: EntryObservation) => void;
  readonly waiters: ProgressWaiters;
  readonly drawRequestId: () => RequestId;
}

/** Queries the leading control daemon; `null` if it did not answer in time. */
export async function queryControl(
  options: QueryControlOptions,
): Promise<ControlQueryResult | null> {
  const correlation = options.drawRequestId();
  let result: ControlQueryResult | null = null;
  const done = options.waiters.await({
    correlation,
    timeoutMs: options.timeoutMs,
    onProgress: progress => {
      result = progress.kind === 'queried' ? progress.result : result;
      return progress.kind === 'queried' || progress.kind === 'unanswered';
    },
  });
  const {query} = options;
  options.post({kind: 'queryReceived', correlation, query});
  await done;
  return result;
}
