import {formatObjectKey} from '@gentianshunt/configuration';
import type {ConfigurationChange, ObjectKey} from '@gentianshunt/configuration';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {BoardView} from '@gentianshunt/board';
import {assertNever} from '@gentianshunt/errors';
import type {ConfigurationVersion} from '@gentianshunt/messages';

/** The sections from which configuration updates are computed. */
export type ConfigurationBoard = Pick<
  BoardView<ControlSections>,
  'applied' | 'configuration' | 'history'
>;

/** Changes that bring an entry to the applied version. */
export interface ConfigurationDelta {
  /** Version that the changes apply to; 0 replaces the whole configuration. */
  readonly fromVersion: ConfigurationVersion;
  readonly changes: readonly ConfigurationChange[];
}

/**
 * Finds the version from which an entry is sent changes; 0 if its own is no
 * longer in the history.
 */
export function findDeltaStart(
  {history, applied}: ConfigurationBoard,
  version: ConfigurationVersion,
): ConfigurationVersion {
  // A new leader may not have applied the entry's version yet.
  return version >= applied.version || history.has(version) ? version : 0;
}

/**
 * Creates the changes that an entry at a version is missing. An entry whose
 * version is no longer in the history receives the whole configuration.
 */
export function createDelta(
  board: ConfigurationBoard,
  version: ConfigurationVersion,
): ConfigurationDelta {
  const fromVersion = findDeltaStart(board, version);
  if (fromVersion >= board.applied.version) {
    return {fromVersion, changes: []};
  }
  return fromVersion === 0
    ? {fromVersion, changes: listAllObjects(board)}
    : {fromVersion, changes: listLatestChanges(board, fromVersion)};
}

/** Lists the latest change of each object, which replaces earlier ones. */
function listLatestChanges(
  {history}: ConfigurationBoard,
  version: ConfigurationVersion,
): readonly ConfigurationChange[] {
  const latest = new Map<ObjectKey, ConfigurationChange>();
  for (const {value} of history.iterateFrom(version + 1)) {
    for (const change of value) {
      latest.set(readKey(change), change);
    }
  }
  return [...latest.values()];
}

function readKey(change: ConfigurationChange): ObjectKey {
  switch (change.kind) {
    case 'put':
      return formatObjectKey(change.object.kind, change.object.id);
    case 'delete':
      return change.key;
    default:
      return assertNever(change, 'readKey');
  }
}

function listAllObjects(
  board: ConfigurationBoard,
): readonly ConfigurationChange[] {
  return Array.from(board.configuration.values(), object => ({
    kind: 'put',
    object,
  }));
}
