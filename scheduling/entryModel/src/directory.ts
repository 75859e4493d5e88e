import type {NodeId} from '@gentianshunt/identifiers';
import type {
  EntryAddress,
  EntryDirectory,
  NetworkAddress,
} from '@gentianshunt/messages';

import type {EntryIdentity} from './identity.js';
import type {ControlStatus} from './sections.js';

/** Lists the addresses of the other entries. */
export function listOtherEntries({
  control,
  identity,
}: {
  readonly control: ControlStatus;
  readonly identity: EntryIdentity;
}): readonly EntryAddress[] {
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
