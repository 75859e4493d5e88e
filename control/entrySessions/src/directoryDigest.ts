import {hashText} from '@gentianshunt/hashing';
import type {DirectoryEntry} from '@gentianshunt/messages';

/** Digest of a directory without entries. */
export const EMPTY_DIRECTORY_DIGEST = 0;

/**
 * Adds an entry to the digest of a directory, or removes it if it is included.
 * The digest is an XOR of hashes, so it does not depend on the order in which
 * entries were added.
 */
export function toggleEntry(digest: number, entry: DirectoryEntry): number {
  return (digest ^ hashText(describeEntry(entry))) >>> 0;
}

function describeEntry({
  address,
  draining,
  isIsolated,
}: DirectoryEntry): string {
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
    ...(isIsolated === true ? ['isolated'] : []),
  ].join(' ');
}
