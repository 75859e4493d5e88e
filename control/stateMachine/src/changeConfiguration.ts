import type {ConfigurationChange} from '@gentianshunt/configuration';
import type {LogEntry} from '@gentianshunt/messages';

import type {StateDraft} from './stateDraft.js';

/** Maximum number of configuration versions kept for lagging entries. */
export const MAX_HISTORY_LENGTH = 10_000;
/** Maximum number of changes in all kept versions together. */
export const MAX_HISTORY_CHANGES = 100_000;

/** Changes the configuration; the log index becomes its version. */
export function changeConfiguration(
  draft: StateDraft,
  entry: LogEntry,
  changes: readonly ConfigurationChange[],
): void {
  draft.applied = {index: entry.index, version: entry.index};
  draft.history.put(entry.index, changes);
  updateHistoryChanges(draft, changes.length);
  for (const change of changes) {
    draft.configuration.change(change);
  }
  while (
    draft.history.size > MAX_HISTORY_LENGTH ||
    draft.changeUsage.history > MAX_HISTORY_CHANGES
  ) {
    const [oldest] = draft.history.iterateFrom();
    draft.history.delete(oldest!.key);
    updateHistoryChanges(draft, -oldest!.value.length);
  }
}

function updateHistoryChanges(draft: StateDraft, added: number): void {
  const {history} = draft.changeUsage;
  draft.changeUsage = {...draft.changeUsage, history: history + added};
}
