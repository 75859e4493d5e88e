import {createHash, timingSafeEqual} from 'node:crypto';

import {isIdentifier} from '@gentianshunt/identifiers';
import type {OperatorId} from '@gentianshunt/identifiers';

/** An operator and the digest of the operator's API key. */
export interface OperatorKey {
  readonly operator: OperatorId;
  /** SHA-256 of the key. */
  readonly digest: Uint8Array;
}

/** Who may use the operators' routes. */
export type OperatorAccess =
  | {readonly kind: 'keys'; readonly keys: readonly OperatorKey[]}
  /** No key is needed and any name is accepted; for tests on loopback only. */
  | {readonly kind: 'insecure'};

/** What a request states about its sender. */
export interface OperatorCredentials {
  readonly authorization: string | undefined;
  /** Name used when access is insecure. */
  readonly name: string | undefined;
}

const BEARER = /^Bearer ([\x21-\x7e]+)$/;
const ANONYMOUS = 'anonymous' as OperatorId;

/** Finds the operator that sent a request; `undefined` without access. */
export function findOperator(
  access: OperatorAccess,
  credentials: OperatorCredentials,
): OperatorId | undefined {
  if (access.kind === 'insecure') {
    const name = credentials.name ?? ANONYMOUS;
    return isIdentifier(name) ? (name as OperatorId) : ANONYMOUS;
  }
  const key = BEARER.exec(credentials.authorization ?? '')?.[1];
  if (key === undefined) {
    return undefined;
  }
  const digest = createHash('sha256').update(key).digest();
  let found: OperatorId | undefined;
  // All keys are compared so that the duration does not reveal the match.
  for (const candidate of access.keys) {
    if (timingSafeEqual(candidate.digest, digest)) {
      found = candidate.operator;
    }
  }
  return found;
}
