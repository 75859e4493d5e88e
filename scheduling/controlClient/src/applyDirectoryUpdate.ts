import {assertNever} from '@gentianshunt/errors';
import type {
  DirectoryChange,
  DirectoryEntry,
  DirectoryUpdate,
  DirectoryVersion,
  EntryDirectory,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/**
 * Applies an update to a directory of entries. Ignores a replacement that is
 * older than the directory, and a delta that starts at another version.
 */
export function applyDirectoryUpdate(
  directory: EntryDirectory,
  update: DirectoryUpdate | null,
): EntryDirectory {
  if (update === null) {
    return directory;
  }
  switch (update.kind) {
    case 'replace':
      return isOlder(update.directory.version, directory.version)
        ? directory
        : update.directory;
    case 'delta':
      return isEqual(update.from, directory.version)
        ? {
            version: update.version,
            entries: applyChanges(directory.entries, update.changes),
          }
        : directory;
    default:
      return assertNever(update, 'applyDirectoryUpdate');
  }
}

function isOlder(left: DirectoryVersion, right: DirectoryVersion): boolean {
  return left.term === right.term
    ? left.number < right.number
    : left.term < right.term;
}

function isEqual(left: DirectoryVersion, right: DirectoryVersion): boolean {
  return left.term === right.term && left.number === right.number;
}

function applyChanges(
  entries: readonly DirectoryEntry[],
  changes: readonly DirectoryChange[],
): readonly DirectoryEntry[] {
  const byNode = new Map<NodeId, DirectoryEntry>(
    entries.map(entry => [entry.address.node, entry]),
  );
  for (const change of changes) {
    switch (change.kind) {
      case 'put':
        byNode.set(change.entry.address.node, change.entry);
        break;
      case 'remove':
        byNode.delete(change.node);
        break;
      default:
        assertNever(change, 'applyChanges');
    }
  }
  return [...byNode.values()];
}
