/** Sets without endpoints, whose leaders own the token quotas. */
import type {EndpointSetId, RegionId} from '@gentianshunt/identifiers';

import type {EndpointSet} from './objects.js';

/**
 * Number of quota sets: enough that many entries share the work, few enough
 * that a lost entry or a restart causes few changes of the configuration.
 */
export const QUOTA_SET_COUNT = 32;

/** Begins the names of quota sets; other sets may not have such a name. */
export const QUOTA_SET_PREFIX = 'quota.';

/** Lists the quota sets of a deployment. */
export function listQuotaSets(region: RegionId): readonly EndpointSet[] {
  return Array.from({length: QUOTA_SET_COUNT}, (_, index) => ({
    kind: 'endpointSet',
    id: `${QUOTA_SET_PREFIX}${index}` as EndpointSetId,
    revision: 0,
    region,
    service: {kind: 'quotas'},
  }));
}

/** Returns whether the leader of a set owns token quotas. */
export function isQuotaSet(set: EndpointSetId): boolean {
  return set.startsWith(QUOTA_SET_PREFIX);
}
