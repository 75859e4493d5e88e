import {hashText} from '@gentianshunt/hashing';
import type {DirectoryEntry} from '@gentianshunt/messages';

/** Digest of a directory without entries. */
export const EMPTY_DIRECTORY_DIGEST = 0;

/**
 * Adds an entry to the digest of a directory, or takes it out again: the
 * digest does not depend on the order in which entries came.
 */
export function flipEntry(digest: number, entry: DirectoryEntry): number {
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
