import type {BoardView} from '@gentianshunt/board';
import type {ControlSections, EntrySession} from '@gentianshunt/controlModel';
import type {
  DirectoryChange,
  DirectoryEntry,
  DirectoryUpdate,
  DirectoryVersion,
} from '@gentianshunt/messages';

/** Most changes of the directory kept for entries that lag behind. */
export const MAX_DIRECTORY_HISTORY = 2_000;

/** The sections from which updates of the directory are made. */
export type DirectoryBoard = Pick<
  BoardView<ControlSections>,
  'directory' | 'directoryHistory' | 'sessions'
>;

/** What an update of the directory is made from. */
export interface DirectoryUpdateOptions {
  readonly board: DirectoryBoard;
  /** The version that the entry holds. */
  readonly held: DirectoryVersion;
  /** The version and change of this turn that the board lacks. */
  readonly latest: DirectoryStep | null;
  /** Whether every entry with a live lease is known. */
  readonly isSettled: boolean;
}

/** A version of the directory and the change that led to it. */
export interface DirectoryStep {
  readonly version: DirectoryVersion;
  readonly change: DirectoryChange;
}

/**
 * Brings an entry's directory up to date. Before the leader has settled it
 * leaves the directory of an earlier leader in place, which knows more.
 */
export function createDirectoryUpdate(
  options: DirectoryUpdateOptions,
): DirectoryUpdate | null {
  const {board, held, latest, isSettled} = options;
  const version = latest?.version ?? board.directory;
  if (held.term === version.term) {
    if (held.number === version.number) {
      return null;
    }
    const changes = listChanges(options);
    if (changes !== undefined) {
      return {kind: 'delta', from: held, version, changes};
    }
  }
  if (!isSettled && held.number > 0) {
    return null;
  }
  return {kind: 'replace', directory: {version, entries: listEntries(options)}};
}

function listChanges(
  options: DirectoryUpdateOptions,
): readonly DirectoryChange[] | undefined {
  const {board, held, latest} = options;
  const first = held.number + 1;
  const isKept =
    board.directoryHistory.has(first) || latest?.version.number === first;
  if (!isKept) {
    return undefined;
  }
  const kept = Array.from(
    board.directoryHistory.iterateFrom(first),
    ({value}) => value,
  );
  return latest === null ? kept : [...kept, latest.change];
}

function listEntries(
  options: DirectoryUpdateOptions,
): readonly DirectoryEntry[] {
  const {board, latest} = options;
  const change = latest?.change;
  const known = Array.from(board.sessions.values(), toDirectoryEntry);
  return change?.kind === 'put'
    ? [
        ...known.filter(
          ({address}) => address.node !== change.entry.address.node,
        ),
        change.entry,
      ]
    : known;
}

/** Shows a session as other entries see it. */
export function toDirectoryEntry(session: EntrySession): DirectoryEntry {
  return {address: session.entry, draining: session.draining};
}
