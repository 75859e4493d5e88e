import {checkReplacement, planReplacement} from '@gentianshunt/configuration';
import type {LogEntry, LogPayload} from '@gentianshunt/messages';

import {changeConfiguration} from './changeConfiguration.js';
import type {StateDraft} from './stateDraft.js';

type ReplacePayload = Extract<
  LogPayload,
  {readonly kind: 'replaceConfiguration'}
>;

/** Replaces the configuration if the version is above the stored one. */
export function applyReplacement(
  draft: StateDraft,
  entry: LogEntry,
  payload: ReplacePayload,
): void {
  const {version, objects, source} = payload.replacement;
  const isNewer = version > draft.source.version;
  // The proposer has already checked the objects, but possibly with the rules
  // of another software release.
  if (!isNewer || checkReplacement(objects) !== undefined) {
    return;
  }
  draft.source = {version, document: source};
  const changes = planReplacement(draft.configuration, objects);
  changeConfiguration(draft, entry, changes);
}
