import {isLeaseValid} from '@gentianshunt/clock';
import type {Instant, Lease} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import type {EntryAddress, EntryDirectory} from '@gentianshunt/messages';

/** The endpoint set, and the state in which its leader is looked up. */
export interface LeaderQuery {
  readonly configuration: ConfigurationTable;
  readonly directory: EntryDirectory;
  readonly set: EndpointSetId;
  /** The lease of the entry that looks it up. */
  readonly lease: Lease;
}

/**
 * Finds the address of the entry that leads a set. Announcements sent there
 * need not be forwarded. Without a lease it is not known: the set may have been
 * given another leader.
 */
export function findLeaderAddress(
  {configuration, directory, set, lease}: LeaderQuery,
  now: Instant,
): EntryAddress | undefined {
  if (!isLeaseValid(lease, now)) {
    return undefined;
  }
  const leadership = findObject(configuration, 'setLeadership', set);
  return directory.entries.find(
    ({address}) => address.node === leadership?.node,
  )?.address;
}

/**
 * Returns whether an entry leads a set by a configuration that it may not use at
 * present. What is announced to it alone may not reach the leader of the set.
 */
export function isLeadershipLapsed(
  {configuration, set, lease}: LeaderQuery,
  node: NodeId,
  now: Instant,
): boolean {
  const leadership = findObject(configuration, 'setLeadership', set);
  return leadership?.node === node && !isLeaseValid(lease, now);
}
