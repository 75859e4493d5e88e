import {createHash, timingSafeEqual} from 'node:crypto';

import type {OperatorId} from '@gentianshunt/identifiers';

/** An operator and the digest of the operator's key. */
export interface OperatorKey {
  readonly operator: OperatorId;
  /** SHA-256 of the key. */
  readonly digest: Uint8Array;
}

/** Who may use the operators' routes. */
export type OperatorAccess =
  | {readonly kind: 'keys'; readonly keys: readonly OperatorKey[]}
  /** Everybody may, under any name; for tests on loopback. */
  | {readonly kind: 'insecure'};

/** What a request says of its sender. */
export interface OperatorCredentials {
  readonly authorization: string | undefined;
  /** Name used when access is insecure. */
  readonly name: string | undefined;
}

const BEARER = /^Bearer ([\x21-\x7e]+)$/;
const ANONYMOUS = 'anonymous' as OperatorId;

/** Finds the operator that a request comes from. */
export function findOperator(
  access: OperatorAccess,
  credentials: OperatorCredentials,
): OperatorId | undefined {
  if (access.kind === 'insecure') {
    return (credentials.name as OperatorId | undefined) ?? ANONYMOUS;
  }
  const key = BEARER.exec(credentials.authorization ?? '')?.[1];
  if (key === undefined) {
    return undefined;
  }
  const digest = createHash('sha256').update(key).digest();
  let found: OperatorId | undefined;
  // All keys are compared, so the time tells nothing of which one fits.
  for (const candidate of access.keys) {
    if (timingSafeEqual(candidate.digest, digest)) {
      found = candidate.operator;
    }
  }
  return found;
}
