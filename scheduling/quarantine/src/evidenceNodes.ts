import {findObject} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import type {EntryAddress, EntryDirectory} from '@gentianshunt/messages';

/** Entries that collect the evidence of a set beside its leader. */
const DEPUTIES = 1;

/**
 * Lists the entries that collect the evidence of a set: its leader, and one
 * more, so that the loss of either leaves the evidence together.
 */
export function listEvidenceNodes(
  configuration: ConfigurationTable,
  {entries}: EntryDirectory,
  set: EndpointSetId,
): readonly EntryAddress[] {
  const leader = findObject(configuration, 'setLeadership', set)?.node;
  const isLeader = ({address}: {address: EntryAddress}): boolean =>
    address.node === leader;
  const deputies = sortByRendezvous(
    set,
    entries.filter(entry => !isLeader(entry)),
    ({address}) => address.node,
  ).slice(0, DEPUTIES);
  return [...entries.filter(isLeader), ...deputies].map(({address}) => address);
}
