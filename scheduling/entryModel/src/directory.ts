import type {TurnTime} from '@gentianshunt/board';
import {hashToFraction} from '@gentianshunt/hashing';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  EntryAddress,
  EntryDirectory,
  NetworkAddress,
} from '@gentianshunt/messages';

import type {EntryIdentity} from './identity.js';
import type {ControlStatus} from './sections.js';

/** What tells an entry which others there are. */
interface DirectoryBoard {
  readonly control: ControlStatus;
  readonly identity: EntryIdentity;
}

/** Picks some of the other entries, others at each time and entry. */
export function pickOtherEntries(
  board: DirectoryBoard,
  count: number,
  now: TurnTime,
): readonly EntryAddress[] {
  const others = listOtherEntries(board);
  const self = board.identity.address.node;
  const offset = hashToFraction(`${self}/${Math.round(now.monotonic)}`);
  const first = Math.floor(offset * others.length);
  return [...others.slice(first), ...others.slice(0, first)].slice(0, count);
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
