import {findObject} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import type {EntryAddress, EntryDirectory} from '@gentianshunt/messages';

/** The endpoint set, and the state in which its leader is looked up. */
export interface LeaderQuery {
  readonly configuration: ConfigurationTable;
  readonly directory: EntryDirectory;
  readonly set: EndpointSetId;
}

/**
 * Finds the address of the entry that leads a set. Announcements sent there
 * need not be forwarded.
 */
export function findLeaderAddress(
  query: LeaderQuery,
): EntryAddress | undefined {
  const {configuration, directory, set} = query;
  const leadership = findObject(configuration, 'setLeadership', set);
  return directory.entries.find(
    ({address}) => address.node === leadership?.node,
  )?.address;
}
