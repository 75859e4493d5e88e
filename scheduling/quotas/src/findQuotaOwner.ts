import {isQuotaSet, listObjects} from '@gentianshunt/configuration';
import type {
  ConfigurationTable,
  SetLeadership,
} from '@gentianshunt/configuration';
import {readQuotaOrganisation, readQuotaPart} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {QuotaAccountId} from '@gentianshunt/identifiers';

/**
 * Finds the set whose leader owns an account, by rendezvous hashing over the
 * quota sets; without any, over all sets. The accounts of an organisation
 * belong to different sets if there are enough.
 */
export function findQuotaOwner(
  configuration: ConfigurationTable,
  account: QuotaAccountId,
): SetLeadership | undefined {
  const all = listObjects(configuration, 'setLeadership');
  const quotaSets = all.filter(({id}) => isQuotaSet(id));
  const owners = quotaSets.length > 0 ? quotaSets : all;
  const organisation = readQuotaOrganisation(account);
  const sorted = sortByRendezvous(organisation, owners, ({id}) => id);
  return sorted[readQuotaPart(account) % Math.max(1, sorted.length)];
}
