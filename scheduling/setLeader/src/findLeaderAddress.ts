import {findObject} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import type {EntryAddress, EntryDirectory} from '@gentianshunt/messages';

/** What is known of sets and entries. */
export interface LeaderQuery {
  readonly configuration: ConfigurationTable;
  readonly directory: EntryDirectory;
  readonly set: EndpointSetId;
}

/** Finds the entry that leads a set, where its endpoints best announce. */
export function findLeaderAddress(
  query: LeaderQuery,
): EntryAddress | undefined {
  const {configuration, directory, set} = query;
  const leadership = findObject(configuration, 'setLeadership', set);
  return directory.entries.find(
    ({address}) => address.node === leadership?.node,
  )?.address;
}
