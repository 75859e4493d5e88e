import {listObjects} from '@gentianshunt/configuration';
import type {
  ConfigurationTable,
  SetLeadership,
} from '@gentianshunt/configuration';
import {hashText} from '@gentianshunt/hashing';
import type {OrganisationId} from '@gentianshunt/identifiers';

/**
 * Finds the set whose leader keeps an organisation's allotment, by rendezvous
 * hashing: another set takes over few of the organisations.
 */
export function findKeeper(
  configuration: ConfigurationTable,
  organisation: OrganisationId,
): SetLeadership | undefined {
  let keeper: SetLeadership | undefined;
  let best = -1;
  for (const leadership of listObjects(configuration, 'setLeadership')) {
    const weight = hashText(`${organisation}/${leadership.id}`);
    if (weight > best) {
      best = weight;
      keeper = leadership;
    }
  }
  return keeper;
}
