import type {ConfigurationChange} from '@gentianshunt/configuration';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {BoardView} from '@gentianshunt/board';
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
  const changes: ConfigurationChange[] = [];
  for (const {value} of history.iterateFrom(version + 1)) {
    changes.push(...value);
  }
  return {fromVersion: version, changes};
}

function listAll(board: ConfigurationBoard): readonly ConfigurationChange[] {
  return Array.from(board.configuration.values(), object => ({
    kind: 'put',
    object,
  }));
}
