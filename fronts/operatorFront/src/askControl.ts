import type {EntryObservation} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';
import type {ControlQuery, ControlQueryResult} from '@gentianshunt/messages';

import type {ProgressWaiters} from './progressWaiters.js';

/** What a question to the control daemons needs. */
export interface AskControlOptions {
  readonly query: ControlQuery;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
  readonly post: (observation: EntryObservation) => void;
  readonly waiters: ProgressWaiters;
  readonly drawRequestId: () => RequestId;
}

/** Asks the leading control daemon; `null` when it did not answer in time. */
export async function askControl(
  options: AskControlOptions,
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
