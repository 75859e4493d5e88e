import type {ConfigurationChange} from '@gentianshunt/configuration';
import type {LogEntry} from '@gentianshunt/messages';

import {addChangeUsage, removeChangeUsage} from './changeUsage.js';
import type {StateDraft} from './stateDraft.js';

/** Maximum number of configuration versions kept for lagging entries. */
export const MAX_HISTORY_LENGTH = 10_000;
/** Maximum number of changes in all kept versions together. */
export const MAX_HISTORY_CHANGES = 100_000;
/** Maximum size of the changes in all kept versions together, in bytes. */
export const MAX_HISTORY_BYTES = 2 * 1_024 * 1_024;

const NO_CHANGES: readonly ConfigurationChange[] = [];

/** Changes the configuration; the log index becomes its version. */
export function changeConfiguration(
  draft: StateDraft,
  entry: LogEntry,
  changes: readonly ConfigurationChange[],
): void {
  draft.applied = {index: entry.index, version: entry.index};
  draft.history.put(entry.index, changes);
  addChangeUsage(draft, 'history', changes);
  for (const change of changes) {
    draft.configuration.change(change);
  }
  while (isHistoryFull(draft)) {
    compactHistory(draft);
  }
}

function isHistoryFull({
  history,
  changeUsage,
  changeBytes,
}: StateDraft): boolean {
  return (
    history.size > MAX_HISTORY_LENGTH ||
    changeUsage.history > MAX_HISTORY_CHANGES ||
    changeBytes.history > MAX_HISTORY_BYTES
  );
}

/**
 * Drops the changes of the oldest version, or the version itself once they are
 * dropped. An entry at the oldest version needs the changes of the later ones
 * only, so the latest version stays however large its changes are.
 */
function compactHistory(draft: StateDraft): void {
  const [oldest] = draft.history.iterateFrom();
  const {key, value} = oldest!;
  if (value.length === 0) {
    draft.history.delete(key);
    return;
  }
  draft.history.put(key, NO_CHANGES);
  removeChangeUsage(draft, 'history', value);
}
