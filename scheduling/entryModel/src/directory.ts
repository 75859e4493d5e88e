import type {TurnTime} from '@gentianshunt/board';
import {hashToFraction} from '@gentianshunt/hashing';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  EntryAddress,
  EntryDirectory,
  NetworkAddress,
} from '@gentianshunt/messages';

import type {EntryIdentity} from './identity.js';
import type {ControlStatus} from './controlStatus.js';

/** What tells an entry which others there are. */
interface DirectoryBoard {
  readonly control: ControlStatus;
  readonly identity: EntryIdentity;
}

/**
 * Picks some of the other entries but those in `left`, others at each time and
 * entry. They are apart in the directory, where neighbours may share a failure
 * domain.
 */
export function pickOtherEntries(
  board: DirectoryBoard,
  count: number,
  now: TurnTime,
  left: ReadonlySet<NodeId> = new Set(),
): readonly EntryAddress[] {
  const {entries} = board.control.directory;
  const self = board.identity.address.node;
  const offset = hashToFraction(`${self}/${Math.round(now.monotonic)}`);
  const first = Math.floor(offset * entries.length);
  const distance = Math.max(1, Math.floor(entries.length / (count + 1)));
  const picked = new Set<EntryAddress>();
  for (let step = 0; step < entries.length && picked.size < count; step += 1) {
    const {address} = entries[(first + step * distance) % entries.length]!;
    if (address.node !== self && !left.has(address.node)) {
      picked.add(address);
    }
  }
  return picked.size === count
    ? [...picked]
    : listOtherEntries(board)
        .filter(({node}) => !left.has(node))
        .slice(0, count);
}

/** Finds the address of another entry. */
export function findOtherEntry(
  {control}: DirectoryBoard,
  node: NodeId,
): EntryAddress | undefined {
  return control.directory.entries.find(({address}) => address.node === node)
    ?.address;
}

/** Lists the addresses of the other entries. */
export function listOtherEntries({
  control,
  identity,
}: DirectoryBoard): readonly EntryAddress[] {
  const self = identity.address.node;
  return control.directory.entries
    .map(({address}) => address)
    .filter(({node}) => node !== self);
}

/** Finds the address of an entry in the directory. */
export function findEntryAddress(
  directory: EntryDirectory,
  node: NodeId,
): NetworkAddress | undefined {
  return directory.entries.find(entry => entry.address.node === node)?.address
    .peer;
}
