/** What the calls of virtual sets have in common. */
import type {RoutePolicy} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';

/** The route of calls that are no streams and may be sent twice. */
export const CALL_POLICY: RoutePolicy = {
  route: toIdentifier('r1'),
  maxAttempts: 2,
  timeLimitMs: 4_000,
  objectiveMs: 500,
  patienceMs: 3_000,
  isResumable: false,
  isStream: false,
  quotaTokens: 0,
};

/** Reads the number at the end of the name of an entry or endpoint. */
export function readIndex(name: string): number {
  return Number(name.split('-')[1]);
}
