// How the reply to a heartbeat renews the lease.
import {createLease, measureLeaseOverrun} from '@gentianshunt/clock';
import type {Instant, Lease, Milliseconds} from '@gentianshunt/clock';
import {mixRoundTrip} from '@gentianshunt/entryModel';
import type {
  ControlStatus,
  EntryIdentity,
  SentHeartbeat,
} from '@gentianshunt/entryModel';
import type {ControlToEntry} from '@gentianshunt/messages';

import {measureAge, recordAnswer} from './heartbeatRecord.js';

/** A message that brings an entry to a configuration version. */
export type ConfigurationUpdate = Extract<
  ControlToEntry,
  {readonly kind: 'configurationUpdate'}
>;

/**
 * Finds the heartbeat that an update answers. Sequences begin anew with each
 * process, so a reply to an earlier incarnation answers none.
 */
export function findAnswered(
  {heartbeats}: ControlStatus,
  {incarnation}: Pick<EntryIdentity, 'incarnation'>,
  update: ConfigurationUpdate,
): SentHeartbeat | undefined {
  return update.incarnation === incarnation
    ? heartbeats.find(({sequence}) => sequence === update.sequence)
    : undefined;
}

/**
 * Renews the lease by the reply to a heartbeat, whenever it comes: the lease
 * runs from the sending of that heartbeat. It is renewed only if the entry holds
 * the version that the leader recorded for it, or a later one.
 */
export function renewLease(
  status: ControlStatus,
  answered: SentHeartbeat,
  update: ConfigurationUpdate,
  now: Instant,
): ControlStatus {
  const isRenewed = status.version >= update.version;
  const heartbeats = recordAnswer(
    status.heartbeats,
    answered.sequence,
    afterMs => ({kind: isRenewed ? 'renewed' : 'unused', afterMs}),
    now,
  );
  const granted = createLease(answered.sentAt, update.leaseMs);
  return {
    ...status,
    heartbeats,
    roundTripMs: measureRoundTrip(status.roundTripMs, answered, now),
    lease: isRenewed ? pickLonger(status.lease, granted, now) : status.lease,
  };
}

/** Picks the lease that ends later. */
function pickLonger(left: Lease, right: Lease, now: Instant): Lease {
  return measureLeaseOverrun(left, now) < measureLeaseOverrun(right, now)
    ? left
    : right;
}

/**
 * Measures the smoothed round trip. The reply to a heartbeat that waited at a
 * daemon until that one was confirmed to lead says nothing of it.
 */
function measureRoundTrip(
  smoothed: Milliseconds | null,
  answered: SentHeartbeat,
  now: Instant,
): Milliseconds | null {
  return answered.answer.kind === 'none'
    ? mixRoundTrip(smoothed, measureAge(answered, now))
    : smoothed;
}
