import type {CommandProgress} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';

/** What a wait for progress needs. */
export interface AwaitProgressOptions {
  readonly correlation: RequestId;
  readonly timeoutMs: number;
  /** Takes each progress; tells whether it was the last one awaited. */
  readonly onProgress: (progress: CommandProgress) => boolean;
}

/** Waits for the progress of commands and queries. */
export interface ProgressWaiters {
  /** Resolves at the last progress awaited or at the timeout. */
  await(options: AwaitProgressOptions): Promise<void>;
  answer(correlation: RequestId, progress: CommandProgress): void;
}

/** Creates an empty table of waits. */
export function createProgressWaiters(): ProgressWaiters {
  const waiters = new Map<RequestId, (progress: CommandProgress) => void>();
  return {
    answer: (correlation, progress) => waiters.get(correlation)?.(progress),
    await: ({correlation, timeoutMs, onProgress}) =>
      new Promise(resolve => {
        const finish = (): void => {
          clearTimeout(timer);
          waiters.delete(correlation);
          resolve();
        };
        const timer = setTimeout(finish, timeoutMs);
        waiters.set(correlation, progress => {
          if (onProgress(progress)) {
            finish();
          }
        });
      }),
  };
}
