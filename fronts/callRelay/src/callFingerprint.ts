import {createHmac} from 'node:crypto';

import {formatRequestFingerprint} from '@gentianshunt/entryModel';
import type {FingerprintId} from '@gentianshunt/identifiers';
import type {RequestBody} from '@gentianshunt/requestBodies';
import type {CallAttributes} from '@gentianshunt/routing';

import type {CallHead} from './callProtocol.js';

/** Length of the digest in hexadecimal digits. */
const DIGEST_LENGTH = 32;

/** What makes two calls the same request. */
export interface FingerprintedCall {
  readonly head: CallHead;
  readonly attributes: Pick<CallAttributes, 'host' | 'key'>;
  readonly body: RequestBody;
}

/**
 * Digests what repeats of a call have in common: its caller, its target and its
 * body, but neither its id nor other headers. The API key of the caller keys the
 * digest, so that it tells nobody else about the body.
 */
export function digestCall({
  head,
  attributes,
  body,
}: FingerprintedCall): FingerprintId {
  const target = JSON.stringify([head.method, attributes.host, head.url]);
  const digest = createHmac('sha256', attributes.key ?? '')
    .update(target)
    .update(body.digest())
    .digest('hex');
  return formatRequestFingerprint(digest.slice(0, DIGEST_LENGTH));
}
