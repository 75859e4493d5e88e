import type {ClaimKey} from '@gentianshunt/messages';

import type {ClaimId} from './stateRecords.js';

/** Makes the key of a claim; the organisation cannot contain a slash. */
export function formatClaimId(key: ClaimKey): ClaimId {
  return `${key.organisation}/${key.idempotencyKey}` as ClaimId;
}
