import type {ClaimKey} from '@gentianshunt/messages';

import type {ClaimId} from './stateRecords.js';

/**
 * Formats the key of a claim. The key is unambiguous because the name of an
 * organisation cannot contain a slash.
 */
export function formatClaimId(key: ClaimKey): ClaimId {
  return `${key.organisation}/${key.idempotencyKey}` as ClaimId;
}
