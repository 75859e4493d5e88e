import type {Milliseconds} from '@gentianshunt/clock';

/** Most service that an organisation may fall behind and still catch up on. */
export const SHARE_CREDIT_MS: Milliseconds = 10_000;
/** Lag from which an organisation's requests are no longer held. */
const UNHELD_LAG_MS: Milliseconds = 4_000;

/** Brings an organisation that was idle up to the credit it may have. */
export function limitCredit(virtualTime: number, furthest: number): number {
  return Math.max(virtualTime, furthest - SHARE_CREDIT_MS);
}

/** Tells whether an organisation has had clearly less than its share. */
export function isBehind(virtualTime: number, furthest: number): boolean {
  return virtualTime < furthest - UNHELD_LAG_MS;
}
