// The records of the endpoints of led sets.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EndpointAnnouncement,
  EndpointRecord,
} from '@gentianshunt/entryModel';

import {updateLeaving} from './endpointLeaves.js';
import type {RegistryView, RegistryWrite} from './registryView.js';

/** An endpoint without an announcement for this long gets no new requests. */
export const ENDPOINT_LEASE_MS: Milliseconds = 3_000;

/** An endpoint without an announcement for this long is removed. */
export const ENDPOINT_RETENTION_MS: Milliseconds = 60_000;

/** How many earlier incarnations of an endpoint are remembered. */
export const MAX_REPLACED_INCARNATIONS = 8;

/** Records an announcement if this entry leads the set of the endpoint. */
export function recordAnnouncement(
  view: RegistryView,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  if (!view.board.leaderships.has(announcement.set)) {
    return [];
  }
  const {set, endpoint} = announcement;
  const known = view.board.endpoints.get({set, endpoint});
  const current = updateLeaving(view, announcement);
  const record = createEndpointRecord(known, current, now);
  if (record === undefined) {
    return [];
  }
  return [
    {
      kind: 'put',
      section: 'endpoints',
      key: {set: announcement.set, endpoint: announcement.endpoint},
      value: record,
    },
  ];
}

/**
 * Announcements may arrive out of order: those of a replaced incarnation are
 * dropped, and an incarnation that announced its leave stays leaving.
 */
function createEndpointRecord(
  known: EndpointRecord | undefined,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): EndpointRecord | undefined {
  const {incarnation} = announcement;
  if (
    known?.replaced.includes(incarnation) === true ||
    (known !== undefined && isOutdated(announcement, known.announcement))
  ) {
    return undefined;
  }
  const isSame = known?.announcement.incarnation === incarnation;
  const isLeaving =
    announcement.leaving || (isSame && known.announcement.leaving);
  return {
    announcement: {...announcement, leaving: isLeaving},
    seenAt: now.monotonic,
    state: isLeaving ? 'leaving' : 'active',
    replaced:
      known === undefined || isSame
        ? (known?.replaced ?? [])
        : [known.announcement.incarnation, ...known.replaced].slice(
            0,
            MAX_REPLACED_INCARNATIONS,
          ),
  };
}

/** Returns whether a later announcement of the endpoint was received. */
function isOutdated(
  {order}: EndpointAnnouncement,
  {order: known}: EndpointAnnouncement,
): boolean {
  if (order === undefined || known === undefined) {
    return false;
  }
  return order.startedAtMs === known.startedAtMs
    ? order.sequence < known.sequence
    : order.startedAtMs < known.startedAtMs;
}

/** Marks endpoints without recent announcements as silent, then drops them. */
export function expireEndpoints(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const writes: RegistryWrite[] = [];
  for (const {key, value} of view.board.endpoints.iterateFrom()) {
    const silentMs = now.monotonic - value.seenAt;
    const isLed = view.board.leaderships.has(key.set);
    if (silentMs > ENDPOINT_RETENTION_MS || !isLed) {
      writes.push({kind: 'delete', section: 'endpoints', key});
    } else if (silentMs > ENDPOINT_LEASE_MS && value.state === 'active') {
      writes.push({
        kind: 'put',
        section: 'endpoints',
        key,
        value: {...value, state: 'silent'},
      });
    }
  }
  return writes;
}
