// Which changes an entry is sent, and when it is sent them again.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EntryHeartbeat,
  EntrySession,
  UpdateDelivery,
} from '@gentianshunt/controlModel';
import type {ConfigurationVersion} from '@gentianshunt/messages';

/** Time after which an unconfirmed update is sent again; it doubles. */
const FIRST_RESEND_MS: Milliseconds = 1_000;
const MAX_RESEND_MS: Milliseconds = 4_000;
const BACKOFF_FACTOR = 2;

/** Creates the delivery of an update that is sent for the first time. */
export function createDelivery(
  version: ConfigurationVersion,
  now: TurnTime,
): UpdateDelivery {
  return {version, sentAt: now.monotonic, attempts: 1};
}

/**
 * Plans the delivery of the latest version to an entry. An update that is on its
 * way is continued by the changes since; it is sent again after a backoff.
 */
export function planDelivery(
  current: EntrySession | undefined,
  heartbeat: EntryHeartbeat,
  latest: ConfigurationVersion,
  now: TurnTime,
): {
  readonly delivery: UpdateDelivery;
  /** The version from which the entry is sent changes. */
  readonly from: ConfigurationVersion;
} {
  const {version} = heartbeat;
  const pending = findPending(current, heartbeat);
  if (pending === undefined) {
    return {
      delivery: createDelivery(Math.max(version, latest), now),
      from: version,
    };
  }
  return isResendDue(pending, now)
    ? {
        delivery: {
          version: latest,
          sentAt: now.monotonic,
          attempts: pending.attempts + 1,
        },
        from: version,
      }
    : {delivery: {...pending, version: latest}, from: pending.version};
}

/** Finds the update that an entry has not confirmed. */
function findPending(
  current: EntrySession | undefined,
  {incarnation, version}: EntryHeartbeat,
): UpdateDelivery | undefined {
  const isPending =
    current?.incarnation === incarnation &&
    current.delivery.version > current.confirmedVersion &&
    current.delivery.version > version;
  return isPending ? current.delivery : undefined;
}

/** Returns whether an unconfirmed update may have been lost. */
export function isResendDue(
  {sentAt, attempts}: UpdateDelivery,
  now: TurnTime,
): boolean {
  const waitMs = FIRST_RESEND_MS * BACKOFF_FACTOR ** (attempts - 1);
  return now.monotonic - sentAt >= Math.min(MAX_RESEND_MS, waitMs);
}
