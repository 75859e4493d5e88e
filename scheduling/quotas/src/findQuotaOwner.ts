import {listObjects} from '@gentianshunt/configuration';
import type {
  ConfigurationTable,
  SetLeadership,
} from '@gentianshunt/configuration';
import {hashText} from '@gentianshunt/hashing';
import type {OrganisationId} from '@gentianshunt/identifiers';

/**
 * Finds the set whose leader owns an organisation's quota, by rendezvous
 * hashing: adding or removing a set moves few organisations.
 */
export function findQuotaOwner(
  configuration: ConfigurationTable,
  organisation: OrganisationId,
): SetLeadership | undefined {
  let owner: SetLeadership | undefined;
  let highestWeight = -1;
  for (const leadership of listObjects(configuration, 'setLeadership')) {
    const weight = hashText(`${organisation}/${leadership.id}`);
    if (weight > highestWeight) {
      highestWeight = weight;
      owner = leadership;
    }
  }
  return owner;
}
