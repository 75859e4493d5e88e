import type {DirectoryEntry, EntryDirectory} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** Most addresses given to a caller at once. */
export const MAX_ADDRESSES = 3;

/** What a caller asks for. */
export interface AddressQuery {
  readonly directory: EntryDirectory;
  /** Calls with the same affinity go to the same entries. */
  readonly affinity: string;
}

/** Selects entries for a caller, in the order in which to try them. */
export function selectAddresses(
  query: AddressQuery,
): readonly DirectoryEntry[] {
  return query.directory.entries
    .filter(entry => !entry.draining)
    .map(entry => ({
      entry,
      score: scoreEntry(query.affinity, entry.address.node),
    }))
    .sort((left, right) => right.score - left.score)
    .slice(0, MAX_ADDRESSES)
    .map(scored => scored.entry);
}

/** Scores an entry for an affinity (rendezvous hashing, FNV-1a). */
function scoreEntry(affinity: string, node: NodeId): number {
  let hash = 0x811c9dc5;
  for (const character of `${affinity}\u0000${node}`) {
    hash ^= character.codePointAt(0)!;
    hash = Math.imul(hash, 0x01000193) >>> 0;
  }
  return hash;
}
