// Received announcements: kept for a while and forwarded to set leaders.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {findEntryAddress, isLaterIncarnation} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import type {
  EndpointAnnouncement,
  ReceivedAnnouncement,
} from '@gentianshunt/entryModel';

import {broadcastLeave, recordLeave, updateLeaving} from './endpointLeaves.js';
import {ENDPOINT_LEASE_MS, recordAnnouncement} from './endpointRecords.js';
import type {RegistryView, RegistryWrite} from './registryView.js';

/** How long earlier announcements are resent to a new leader. */
export const REANNOUNCE_MS: Milliseconds = 600;

/**
 * Records and forwards an announcement. One that was sent before the endpoint
 * left may arrive later; it does not replace the recorded leave, and it is
 * forwarded as the announcement of an endpoint that leaves.
 */
export function recordContact(
  view: RegistryView,
  contact: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {endpoint} = contact;
  const announcement = updateLeaving(view, contact);
  const known = view.board.announcements.get(endpoint);
  const isLeft =
    known?.kind === 'left' && !isLaterIncarnation(contact, known.left);
  const received = {
    kind: 'announced',
    announcement,
    receivedAt: now.monotonic,
  } as const;
  return [
    ...(isLeft ? [] : [putAnnouncement(endpoint, received)]),
    ...routeAnnouncement(view, announcement, now),
  ];
}

/** Keeps what an endpoint announced last. */
export function putAnnouncement(
  key: EndpointId,
  value: ReceivedAnnouncement,
): RegistryWrite {
  return {kind: 'put', section: 'announcements', key, value};
}

/** Drops the announcements that are too old for a new leader. */
export function dropAnnouncements(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  return [...view.board.announcements]
    .filter(
      ([, {receivedAt}]) => now.monotonic - receivedAt > ENDPOINT_LEASE_MS,
    )
    .map(([key]) => ({kind: 'delete', section: 'announcements', key}));
}

/**
 * Resends recent announcements to a new leader, because endpoints may have
 * announced while the set had none. The leader may learn of its leadership
 * after the first message, so they are sent more than once.
 */
export function resendAnnouncements(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {announcements, leaderChanges} = view.board;
  const isRecent = (changedAt: MonotonicTime | undefined): boolean =>
    changedAt !== undefined && now.monotonic - changedAt <= REANNOUNCE_MS;
  const isAnyRecent = [...leaderChanges.values()].some(isRecent);
  return [...announcements].flatMap(([endpoint, received]) => {
    switch (received.kind) {
      case 'announced': {
        const {announcement} = received;
        return isRecent(leaderChanges.get(announcement.set))
          ? routeAnnouncement(view, announcement, now)
          : [];
      }
      case 'left':
        return isAnyRecent
          ? [
              ...recordLeave(view, endpoint, received.left),
              ...broadcastLeave(view, endpoint, received.left),
            ]
          : [];
    }
  });
}

/**
 * Passes an announcement to the leader of the endpoint's set, which may be this
 * entry.
 */
function routeAnnouncement(
  view: RegistryView,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {configuration, identity, control} = view.board;
  const leadership = findObject(
    configuration,
    'setLeadership',
    announcement.set,
  );
  if (leadership === undefined) {
    return [];
  }
  if (leadership.node === identity.address.node) {
    return recordAnnouncement(view, announcement, now);
  }
  const address = findEntryAddress(control.directory, leadership.node);
  if (address === undefined) {
    return [];
  }
  return [
    {
      kind: 'effect',
      effect: {
        kind: 'sendEntry',
        to: leadership.node,
        address,
        message: {kind: 'endpointAnnounced', announcement},
      },
    },
  ];
}
