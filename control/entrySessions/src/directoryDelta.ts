import type {BoardView} from '@gentianshunt/board';
import type {ControlSections, EntrySession} from '@gentianshunt/controlModel';
import type {
  DirectoryChange,
  DirectoryEntry,
  DirectoryUpdate,
  DirectoryVersion,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** Maximum number of directory changes kept for lagging entries. */
export const MAX_DIRECTORY_HISTORY = 2_000;

/** The sections from which directory updates are created. */
export type DirectoryBoard = Pick<
  BoardView<ControlSections>,
  'directory' | 'directoryHistory' | 'sessions'
>;

/** Inputs of a directory update for one entry. */
export interface DirectoryUpdateOptions {
  readonly board: DirectoryBoard;
  /** The version that the entry has. */
  readonly entryVersion: DirectoryVersion;
  /** The changes of this turn, which are not on the board yet. */
  readonly latest: readonly DirectoryStep[];
  /** Whether every entry with a live lease has a session at this daemon. */
  readonly isLeaseRecoveryOver: boolean;
}

/** A change of the directory and the version that results from it. */
export interface DirectoryStep {
  readonly version: DirectoryVersion;
  readonly change: DirectoryChange;
}

/**
 * Creates the update that an entry's directory needs, or `null` if it needs
 * none. During the lease recovery period the entry keeps the directory of the
 * previous leader, which is more complete.
 */
export function createDirectoryUpdate(
  options: DirectoryUpdateOptions,
): DirectoryUpdate | null {
  const {board, entryVersion, latest, isLeaseRecoveryOver} = options;
  const version = latest.at(-1)?.version ?? board.directory;
  if (entryVersion.term === version.term) {
    if (entryVersion.number === version.number) {
      return null;
    }
    const changes = listChanges(options);
    if (changes !== undefined) {
      return {kind: 'delta', from: entryVersion, version, changes};
    }
  }
  if (!isLeaseRecoveryOver && entryVersion.number > 0) {
    return null;
  }
  if (entryVersion.number > 0 && entryVersion.digest === version.digest) {
    return {kind: 'delta', from: entryVersion, version, changes: []};
  }
  return {kind: 'replace', directory: {version, entries: listEntries(options)}};
}

/** Lists the changes after the entry's version, if all of them are kept. */
function listChanges(
  options: DirectoryUpdateOptions,
): readonly DirectoryChange[] | undefined {
  const {board, entryVersion, latest} = options;
  const first = entryVersion.number + 1;
  const added = latest.filter(({version}) => version.number >= first);
  const isKept =
    board.directoryHistory.has(first) || added[0]?.version.number === first;
  if (!isKept) {
    return undefined;
  }
  const kept = Array.from(
    board.directoryHistory.iterateFrom(first),
    ({value}) => value,
  );
  return [...kept, ...added.map(({change}) => change)];
}

function listEntries(
  options: DirectoryUpdateOptions,
): readonly DirectoryEntry[] {
  const {board, latest} = options;
  const entries = new Map<NodeId, DirectoryEntry>(
    Array.from(board.sessions, ([node, session]) => [
      node,
      toDirectoryEntry(session),
    ]),
  );
  for (const {change} of latest) {
    if (change.kind === 'put') {
      const {node} = change.entry.address;
      // A changed entry comes last, as in a directory that was updated.
      entries.delete(node);
      entries.set(node, change.entry);
    }
  }
  return [...entries.values()];
}

/** Converts a session to the directory entry that other entries receive. */
export function toDirectoryEntry({
  entry: address,
  draining,
  isIsolated,
}: EntrySession): DirectoryEntry {
  return isIsolated ? {address, draining, isIsolated} : {address, draining};
}
