import type {CommandProgress} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';

/** Options of a wait for the progress of a command or query. */
export interface AwaitProgressOptions {
  readonly correlation: RequestId;
  readonly timeoutMs: number;
  /** Called with each progress; returns whether the wait is over. */
  readonly onProgress: (progress: CommandProgress) => boolean;
}

/** The waits for the progress of commands and queries, by correlation. */
export interface ProgressWaiters {
  /** Resolves once `onProgress` returns `true`, or at the timeout. */
  await(options: AwaitProgressOptions): Promise<void>;
  /** Passes progress to the wait with this correlation, if there is one. */
  answer(correlation: RequestId, progress: CommandProgress): void;
}

/** Creates an empty table. */
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
