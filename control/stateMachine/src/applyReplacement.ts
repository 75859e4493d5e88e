import {checkReplacement, planReplacement} from '@gentianshunt/configuration';
import type {LogEntry, LogPayload} from '@gentianshunt/messages';

import {changeConfiguration} from './changeConfiguration.js';
import type {StateDraft} from './stateDraft.js';

type ReplacePayload = Extract<
  LogPayload,
  {readonly kind: 'replaceConfiguration'}
>;

/** The highest version holds; what is not above it changes nothing. */
export function applyReplacement(
  draft: StateDraft,
  entry: LogEntry,
  payload: ReplacePayload,
): void {
  const {version, objects, source} = payload.replacement;
  const isNewer = version > draft.source.version;
  // It was checked before it was proposed, by whichever release proposed it.
  if (!isNewer || checkReplacement(objects) !== undefined) {
    return;
  }
  draft.source = {version, document: source};
  const changes = planReplacement(draft.configuration, objects);
  changeConfiguration(draft, entry, changes);
}
