import {formatObjectKey} from '@gentianshunt/configuration';
import type {ConfigurationChange, ObjectKey} from '@gentianshunt/configuration';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {BoardView} from '@gentianshunt/board';
import {assertNever} from '@gentianshunt/errors';
import type {ConfigurationVersion} from '@gentianshunt/messages';

/** The sections from which updates are made. */
export type ConfigurationBoard = Pick<
  BoardView<ControlSections>,
  'applied' | 'configuration' | 'history'
>;

/** Changes that lead to the applied version. */
export interface ConfigurationDelta {
  /** Version the changes apply to; 0 replaces everything. */
  readonly fromVersion: ConfigurationVersion;
  readonly changes: readonly ConfigurationChange[];
}

/** Lists what an entry at a version lacks. */
export function createDelta(
  board: ConfigurationBoard,
  version: ConfigurationVersion,
): ConfigurationDelta {
  const {history, applied} = board;
  if (version === applied.version) {
    return {fromVersion: version, changes: []};
  }
  if (version === 0 || !history.has(version)) {
    return {fromVersion: 0, changes: listAll(board)};
  }
  return {fromVersion: version, changes: listLatest(board, version)};
}

/** Lists the last change of each object; earlier ones make no difference. */
function listLatest(
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

function listAll(board: ConfigurationBoard): readonly ConfigurationChange[] {
  return Array.from(board.configuration.values(), object => ({
    kind: 'put',
    object,
  }));
}
