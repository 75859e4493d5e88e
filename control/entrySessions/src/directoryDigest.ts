import type {DirectoryEntry} from '@gentianshunt/messages';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Digest of a directory without entries. */
export const EMPTY_DIRECTORY_DIGEST = 0;

/**
 * Adds an entry to the digest of a directory, or takes it out again: the
 * digest does not depend on the order in which entries came.
 */
export function toggleEntry(digest: number, entry: DirectoryEntry): number {
  return (digest ^ hashText(describeEntry(entry))) >>> 0;
}

function describeEntry({address, draining}: DirectoryEntry): string {
  const {node, region, domain, peer, http} = address;
  return [
    node,
    region,
    domain,
    peer.host,
    peer.port,
    http.host,
    http.port,
    draining,
  ].join(' ');
}

/** The FNV-1a hash of a text in 32 bits. */
function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
