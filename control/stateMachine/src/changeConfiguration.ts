import type {ConfigurationChange} from '@gentianshunt/configuration';
import type {LogEntry} from '@gentianshunt/messages';

import type {StateDraft} from './stateDraft.js';

/** Most configuration versions kept for entries that lag behind. */
export const MAX_HISTORY_LENGTH = 10_000;

/** Changes the configuration; the entry's index becomes the version. */
export function changeConfiguration(
  draft: StateDraft,
  entry: LogEntry,
  changes: readonly ConfigurationChange[],
): void {
  draft.applied = {index: entry.index, version: entry.index};
  draft.history.put(entry.index, changes);
  for (const change of changes) {
    draft.configuration.change(change);
  }
  while (draft.history.size > MAX_HISTORY_LENGTH) {
    const [oldest] = draft.history.iterateFrom();
    draft.history.delete(oldest!.key);
  }
}
