import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {Role} from '@gentianshunt/controlModel';

/** Lifetime of an entry's configuration lease. */
export const ENTRY_LEASE_MS: Milliseconds = 3_000;

/**
 * Tells how long leases of an earlier leader may still live. Until then a
 * new leader has not heard of every entry that acts on a configuration.
 */
export function readSettlingMs(role: Role, now: TurnTime): Milliseconds {
  return role.kind === 'leader'
    ? Math.max(0, role.since + ENTRY_LEASE_MS - now.monotonic)
    : ENTRY_LEASE_MS;
}

/** Tells whether this daemon leads and every live entry is known to it. */
export function isSettled(role: Role, now: TurnTime): boolean {
  return role.kind === 'leader' && readSettlingMs(role, now) === 0;
}
