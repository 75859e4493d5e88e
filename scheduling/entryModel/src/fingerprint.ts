// What may crash endpoints, and how messages and operators name it.
import {toIdentifier} from '@gentianshunt/identifiers';
import type {FingerprintId} from '@gentianshunt/identifiers';

import type {RequestAttributes} from './request.js';

/** What may crash endpoints. */
export type Fingerprint =
  /** A part of prompts, which requests that differ otherwise share. */
  | {readonly kind: 'promptPart'; readonly id: FingerprintId}
  /** A request as a whole: its caller, its target and its body. */
  | {readonly kind: 'request'; readonly id: FingerprintId};

/** Begins the identifiers of whole requests; no prompt part has a point. */
const REQUEST_PREFIX = 'request.';

/** Makes the identifier of a whole request from its digest. */
export function formatRequestFingerprint(digest: string): FingerprintId {
  return toIdentifier(`${REQUEST_PREFIX}${digest}`);
}

/** Recognises the kind of a fingerprint by its identifier. */
export function toFingerprint(id: FingerprintId): Fingerprint {
  return id.startsWith(REQUEST_PREFIX)
    ? {kind: 'request', id}
    : {kind: 'promptPart', id};
}

/** Lists all fingerprints of a request. */
export function listFingerprints({
  promptParts = [],
  requestFingerprint,
}: Pick<
  RequestAttributes,
  'promptParts' | 'requestFingerprint'
>): readonly Fingerprint[] {
  const parts = promptParts.map((part): Fingerprint => ({
    kind: 'promptPart',
    id: toIdentifier(part),
  }));
  return requestFingerprint === undefined
    ? parts
    : [...parts, {kind: 'request', id: requestFingerprint}];
}
